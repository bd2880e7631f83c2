import type { MakeRoute } from '../routepolicy.js';

/** The upstream where this entry has the fewest requests in flight. */
export const leastConnections: MakeRoute = () => {
  const inFlight = new Map<number, number>();
  const count = (index: number, change: number) =>
    inFlight.set(index, (inFlight.get(index) ?? 0) + change);
  return {
    choose(_ask, candidates) {
      let [best] = candidates;
      for (const candidate of candidates) {
        const fewer = (inFlight.get(candidate.index) ?? 0) < (inFlight.get(best!.index) ?? 0);
        if (fewer) best = candidate;
      }
      if (best) count(best.index, 1);
      return best;
    },
    learn: ({ index }) => {
      count(index, -1);
    },
  };
};
