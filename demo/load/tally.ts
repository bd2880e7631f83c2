import type { StandIns } from '../standins.js';
import type { Outcome } from './outcome.js';
import type { RequestRecord } from './requestrecord.js';

/** Counts of a load. The runs are those that the stand-ins observed. */
export interface Tally {
  readonly asked: number;
  readonly answered: number;
  readonly refused: number;
  readonly unknown: number;
  /** Requests without an answer, and confirmations that were answered but never ran. */
  readonly lost: number;
  /** Business keys that ran more than once. */
  readonly doubled: number;
  readonly cut: number;
  readonly falseNotRun: number;
  readonly overcommits: number;
  /** Number of model loads and unloads. */
  readonly moves: number;
  /** Sum of the weights of correct answers within their deadlines. */
  readonly attained: number;
  readonly accelerators: number;
  /** Outcomes other than an answer, by request kind, outcome type and reason. */
  readonly reasons: Readonly<Record<string, number>>;
}

/** Weight and deadline of each kind, as in the demo's documents. */
const KINDS: Readonly<Record<RequestRecord['kind'], { weight: number; deadlineMs: number }>> = {
  draft: { weight: 2, deadlineMs: 3000 },
  archive: { weight: 1, deadlineMs: 8000 },
  lookup: { weight: 1, deadlineMs: 1000 },
  confirm: { weight: 5, deadlineMs: 4000 },
};

function lastOutcome({ outcomes }: RequestRecord): Outcome['type'] {
  return outcomes.at(-1)?.type ?? 'lost';
}

function attainedWeight(record: RequestRecord): number {
  const { weight, deadlineMs } = KINDS[record.kind];
  return lastOutcome(record) === 'answered' && record.tookMs <= deadlineMs ? weight : 0;
}

function reasonsOf(records: readonly RequestRecord[]): Tally['reasons'] {
  const reasons: Record<string, number> = {};
  for (const { kind, outcomes } of records) {
    for (const { type, reason = '' } of outcomes) {
      if (type === 'answered') continue;
      const name = `${kind} ${type} ${reason}`.trim();
      reasons[name] = (reasons[name] ?? 0) + 1;
    }
  }
  return reasons;
}

/** Counts the outcomes of a load. */
export function tally(
  records: readonly RequestRecord[],
  standIns: Pick<StandIns, 'engines' | 'services' | 'runs'>,
): Tally {
  const { engines, services } = standIns;
  const keys = new Set(services.flatMap((service) => [...service.allRuns().keys()]));
  const count = (is: (record: RequestRecord) => boolean) => records.filter(is).length;
  const ended = (type: Outcome['type']) => count((record) => lastOutcome(record) === type);
  const sum = (of: (engine: StandIns['engines'][number]) => number) =>
    engines.reduce((total, engine) => total + of(engine), 0);
  const neverRan = count(
    (record) =>
      record.kind === 'confirm' &&
      lastOutcome(record) === 'answered' &&
      standIns.runs(record.id) === 0,
  );
  const falseAtEnd = (record: RequestRecord) =>
    record.kind === 'confirm' && lastOutcome(record) === 'refused' && standIns.runs(record.id) > 0;
  return {
    asked: records.length,
    answered: ended('answered'),
    refused: ended('refused'),
    unknown: ended('unknown'),
    lost: ended('lost') + neverRan,
    doubled: [...keys].filter((key) => standIns.runs(key) > 1).length,
    cut: ended('cut'),
    falseNotRun: count((record) => record.falseNotRun || falseAtEnd(record)),
    overcommits: sum(({ overcommits }) => overcommits),
    moves: sum(({ counts }) => counts.loads + counts.unloads),
    attained: records.reduce((total, record) => total + attainedWeight(record), 0),
    accelerators: engines.length,
    reasons: reasonsOf(records),
  };
}
