"""Straight lines through measured costs, to extrapolate them."""

from collections.abc import Sequence
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class LinearFit:
    """A straight line that is fitted to measured points.

    Attributes:
        name: Name of the cost.
        unit: Unit of the cost and meaning of the size.
        points: Measured pairs of size and cost.
        intercept: Cost at size 0 according to the line.
        slope: Increase of the cost per unit of size.
        residual: Largest absolute distance of a point from the line.
    """

    name: str
    unit: str
    points: tuple[tuple[float, float], ...]
    intercept: float
    slope: float
    residual: float

    def at(self, size: float) -> float:
        """Return the cost at a size according to the line."""
        return self.intercept + self.slope * size

    def table_row(self) -> str:
        """Return the row of the Markdown table."""
        points = ", ".join(f"{x:g}: {y:.4g}" for x, y in self.points)
        return (
            f"| {self.name} | {self.unit} | {points} | {self.intercept:.4g} | "
            f"{self.slope:.4g} | {self.residual:.2g} |"
        )


def fit_line(
    name: str, unit: str, points: Sequence[tuple[float, float]]
) -> LinearFit:
    """Fit a line by least squares.

    Args:
        name: Name of the cost.
        unit: Unit of the cost and meaning of the size.
        points: Measured pairs of size and cost.
    """
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    sum_squares = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / sum_squares
    intercept = mean_y - slope * mean_x
    max_residual = max(abs(y - intercept - slope * x) for x, y in points)
    return LinearFit(name, unit, tuple(points), intercept, slope, max_residual)
