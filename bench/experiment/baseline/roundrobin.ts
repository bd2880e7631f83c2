import type { MakeRoute } from '../routepolicy.js';

/** Chooses the ready upstreams of each model in rotation. */
export const roundRobin: MakeRoute = ({ entry }) => {
  const nextIndexes = new Map<string, number>();
  return {
    choose(ask, candidates) {
      const ready = candidates.filter(({ phase }) => phase === 'ready');
      const nextIndex = nextIndexes.get(ask.model) ?? entry;
      nextIndexes.set(ask.model, nextIndex + 1);
      return ready[nextIndex % Math.max(1, ready.length)];
    },
    learn() {},
  };
};
