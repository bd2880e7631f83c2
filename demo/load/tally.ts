import type { StandIns } from '../standins.js';
import type { Outcome } from './outcome.js';
import type { Asked } from './asked.js';

/** What became of a load; the stand-ins, which see what truly ran, are asked. */
export interface Tally {
  readonly asked: number;
  readonly answered: number;
  readonly refused: number;
  readonly unknown: number;
  readonly lost: number;
  readonly doubled: number;
  readonly cut: number;
  readonly falseNotRun: number;
  readonly overcommits: number;
  /** Models loaded or unloaded. */
  readonly moves: number;
  /** Weights of right answers in time. */
  readonly attained: number;
  readonly accelerators: number;
  /** Refusals and ends without an answer, by type. */
  readonly reasons: Readonly<Record<string, number>>;
}

/** Weight and deadline of each kind, as in the demo's documents. */
const KINDS: Readonly<Record<Asked['kind'], { weight: number; deadlineMs: number }>> = {
  draft: { weight: 2, deadlineMs: 3000 },
  archive: { weight: 1, deadlineMs: 8000 },
  lookup: { weight: 1, deadlineMs: 1000 },
  confirm: { weight: 5, deadlineMs: 4000 },
};

function lastOf({ outcomes }: Asked): Outcome['type'] {
  return outcomes.at(-1)?.type ?? 'lost';
}

function attainedBy(record: Asked): number {
  const { weight, deadlineMs } = KINDS[record.kind];
  return lastOf(record) === 'answered' && record.tookMs <= deadlineMs ? weight : 0;
}

function reasonsOf(records: readonly Asked[]): Tally['reasons'] {
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

/** Counts what became of a load. */
export function tally(
  records: readonly Asked[],
  standIns: Pick<StandIns, 'engines' | 'services' | 'runs'>,
): Tally {
  const { engines, services } = standIns;
  const keys = new Set(services.flatMap((service) => [...service.allRuns().keys()]));
  const count = (is: (record: Asked) => boolean) => records.filter(is).length;
  const ended = (type: Outcome['type']) => count((record) => lastOf(record) === type);
  const sum = (of: (engine: StandIns['engines'][number]) => number) =>
    engines.reduce((total, engine) => total + of(engine), 0);
  const neverRan = count(
    (record) =>
      record.kind === 'confirm' && lastOf(record) === 'answered' && standIns.runs(record.id) === 0,
  );
  const falseAtEnd = (record: Asked) =>
    record.kind === 'confirm' && lastOf(record) === 'refused' && standIns.runs(record.id) > 0;
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
    attained: records.reduce((total, record) => total + attainedBy(record), 0),
    accelerators: engines.length,
    reasons: reasonsOf(records),
  };
}
