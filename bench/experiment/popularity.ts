import type { Deployment } from './deployment.js';
import { Random } from './random.js';

const ZIPF_EXPONENT = 0.8;

/** Returns each model's mean fraction of all requests to models. */
export function popularityOf(deployment: Deployment, seed: number): ReadonlyMap<string, number> {
  const { models } = deployment.document;
  const order = new Random(seed, 'popularity').shuffle(models.map(({ id }) => id));
  const weights = order.map((_, rank) => 1 / (rank + 1) ** ZIPF_EXPONENT);
  const sum = weights.reduce((total, weight) => total + weight, 0);
  return new Map<string, number>(order.map((id, rank) => [id, weights[rank]! / sum]));
}
