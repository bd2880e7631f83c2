/** What is kept of the older points when one is added. */
const DEFAULT_KEEP = 0.98;
const ENOUGH = 4;

/** A straight line through what was measured lately: older points count less and less. */
export class LinearFit {
  private count = 0;

  private weights = 0;

  private sumX = 0;

  private sumY = 0;

  private sumXX = 0;

  private sumXY = 0;

  private deviation = 0;

  constructor(private readonly keep = DEFAULT_KEEP) {}

  /** True when there are enough points to predict from. */
  get known(): boolean {
    return this.count >= ENOUGH;
  }

  /** Mean distance of the points from the line. */
  get spread(): number {
    return this.deviation;
  }

  add(x: number, y: number, weight = 1): void {
    const { keep } = this;
    if (this.known) {
      this.deviation = keep * this.deviation + (1 - keep) * Math.abs(y - this.predict(x));
    }
    this.count = this.count * keep + 1;
    this.weights = this.weights * keep + weight;
    this.sumX = this.sumX * keep + weight * x;
    this.sumY = this.sumY * keep + weight * y;
    this.sumXX = this.sumXX * keep + weight * x * x;
    this.sumXY = this.sumXY * keep + weight * x * y;
  }

  predict(x: number): number {
    if (this.weights === 0) return 0;
    const meanX = this.sumX / this.weights;
    const meanY = this.sumY / this.weights;
    const variance = this.sumXX / this.weights - meanX * meanX;
    const covariance = this.sumXY / this.weights - meanX * meanY;
    const slope = variance > 1 ? Math.max(0, covariance / variance) : 0;
    return Math.max(0, meanY + slope * (x - meanX));
  }
}
