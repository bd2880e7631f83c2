import { defaultCurve } from '../../standin/index.js';
import type { Ask } from './ask.js';
import { capacityPerMs, costMs } from './cost.js';
import type { Deployment } from './deployment.js';

const WINDOW_MS = 60_000;
const PACE_GOAL_MS = 53;

interface Piece {
  readonly weight: number;
  readonly costMs: number;
}

/** Most weight that fits in so much time, with parts of requests allowed. */
function fill(pieces: readonly Piece[], capacityMs: number): number {
  let left = capacityMs;
  let weight = 0;
  for (const piece of [...pieces].sort((a, b) => b.weight / b.costMs - a.weight / a.costMs)) {
    if (piece.costMs > left) return weight + (piece.weight * left) / piece.costMs;
    left -= piece.costMs;
    weight += piece.weight;
  }
  return weight;
}

function pieceOf(ask: Ask): Piece {
  return { weight: ask.kind.weight, costMs: Math.max(0.001, costMs(defaultCurve, ask)) };
}

/** Work of a window may be done until its last request is due. */
function slackMs(asks: readonly Ask[]): number {
  let longest = 0;
  for (const { kind, outputTokens } of asks) {
    if (!kind.longJob) longest = Math.max(longest, kind.deadlineMs + PACE_GOAL_MS * outputTokens);
  }
  return longest;
}

/**
 * What nobody can exceed who knows all requests beforehand, moves models for nothing, finds every shared
 * prefix in the cache and may divide requests: in all, and in each minute for what cannot wait longer.
 */
function clairvoyant(asks: readonly Ask[], placesPerMs: number, durationMs: number): number {
  const short = asks.filter(({ kind }) => !kind.longJob);
  const long = asks.filter(({ kind }) => kind.longJob);
  const longestMs = Math.max(0, ...asks.map(({ kind }) => kind.deadlineMs));
  const wholeMs = placesPerMs * (durationMs + longestMs + slackMs(asks));
  const whole = fill(asks.map(pieceOf), wholeMs);
  let windows = 0;
  for (let fromMs = 0; fromMs < durationMs; fromMs += WINDOW_MS) {
    const own = short.filter(({ atMs }) => atMs >= fromMs && atMs < fromMs + WINDOW_MS);
    windows += fill(own.map(pieceOf), placesPerMs * (WINDOW_MS + slackMs(own)));
  }
  const longWeight = long.reduce((sum, { kind }) => sum + kind.weight, 0);
  return Math.min(whole, windows + longWeight);
}

/** Upper bounds on the attained weight of one workload. */
export function bound({ document }: Deployment, asks: readonly Ask[], durationMs: number) {
  const count = (type: 'engine' | 'plain', places: (slots: number) => number) =>
    document.groups
      .filter((group) => group.type === type)
      .reduce((sum, { slots, upstreams }) => sum + upstreams.length * places(slots), 0);
  const engineAsks = asks.filter(({ model }) => model);
  const plainAsks = asks.filter(({ model }) => !model);
  const plain = clairvoyant(
    plainAsks,
    count('plain', (slots) => slots),
    durationMs,
  );
  const engines = count('engine', () => 1);
  const paced = engines * capacityPerMs(defaultCurve);
  return {
    /** Engines run one step after the other without end, however long a step becomes. */
    clairvoyant: plain + clairvoyant(engineAsks, engines, durationMs),
    /** Engines keep the token pace in the mean, and work does not run over: no strict bound. */
    atPace: plain + fill(engineAsks.map(pieceOf), paced * durationMs),
  };
}
