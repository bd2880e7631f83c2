import type { Candidate, MakeRoute } from '../routepolicy.js';

/** Chooses the upstream with the fewest requests in flight from this entry. */
export const leastConnections: MakeRoute = () => {
  const inFlight = new Map<number, number>();
  const count = (index: number, change: number) =>
    inFlight.set(index, (inFlight.get(index) ?? 0) + change);
  const countOf = ({ index }: Candidate) => inFlight.get(index) ?? 0;
  return {
    choose(_ask, candidates) {
      let best: Candidate | undefined;
      for (const candidate of candidates) {
        if (candidate.phase !== 'ready') continue;
        const fewer = !best || countOf(candidate) < countOf(best);
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
