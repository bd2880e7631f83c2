/** Factor applied to the weight of older points when one is added. */
const DEFAULT_RETENTION = 0.98;
const MIN_POINTS = 4;

/** Weighted linear regression in which older points decay exponentially. */
export class LinearFit {
  private count = 0;

  private weights = 0;

  private sumX = 0;

  private sumY = 0;

  private sumXX = 0;

  private sumXY = 0;

  private deviation = 0;

  constructor(private readonly retention = DEFAULT_RETENTION) {}

  /** True if there are enough points to predict from. */
  get known(): boolean {
    return this.count >= MIN_POINTS;
  }

  /** Mean absolute deviation of the points from the line. */
  get spread(): number {
    return this.deviation;
  }

  add(x: number, y: number, weight = 1): void {
    const { retention } = this;
    if (this.known) {
      this.deviation = retention * this.deviation + (1 - retention) * Math.abs(y - this.predict(x));
    }
    this.count = this.count * retention + 1;
    this.weights = this.weights * retention + weight;
    this.sumX = this.sumX * retention + weight * x;
    this.sumY = this.sumY * retention + weight * y;
    this.sumXX = this.sumXX * retention + weight * x * x;
    this.sumXY = this.sumXY * retention + weight * x * y;
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
