import type { MakeRoute } from '../routepolicy.js';

/** Each model's upstreams in turn. */
export const roundRobin: MakeRoute = ({ entry }) => {
  const turns = new Map<string, number>();
  return {
    choose(ask, candidates) {
      const ready = candidates.filter(({ phase }) => phase === 'ready');
      const turn = turns.get(ask.model) ?? entry;
      turns.set(ask.model, turn + 1);
      return ready[turn % Math.max(1, ready.length)];
    },
    learn() {},
  };
};
