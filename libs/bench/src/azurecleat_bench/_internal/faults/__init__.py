"""Random faults on in-process instances, and a checker of the promises."""
