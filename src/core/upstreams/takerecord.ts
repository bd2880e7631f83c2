import type { Ms, Revision } from '../../base/index.js';
import type { Lifecycle } from './lifecycle.js';
import type { Upstream } from './upstream.js';

/** The part of an upstream's record that decides on its lifecycle. */
type ListRecord = Pick<Upstream, 'startedAtMs' | 'sequence' | 'isLeaving'>;

/** How a record relates to what is known. All but `current` and `restart` are to be ignored. */
type Verdict = 'current' | 'restart' | 'earlier-start' | 'replayed' | 'late-write';

/** A write that got no answer may be carried out seconds later. */
const LATE_WRITE_MS: Ms = 10_000;

function isEarlier(one: number | undefined, other: number | undefined): boolean {
  return one !== undefined && other !== undefined && one < other;
}

function verdictOn(before: Lifecycle, record: ListRecord, revision: Revision, nowMs: Ms): Verdict {
  const { startedAtMs, sequence, removedAtMs } = before;
  if (isEarlier(record.startedAtMs, startedAtMs)) return 'earlier-start';
  if (isEarlier(startedAtMs, record.startedAtMs)) return 'restart';
  if (revision <= before.revision) return 'replayed';
  const isJustRemoved = removedAtMs !== undefined && nowMs - removedAtMs < LATE_WRITE_MS;
  return isJustRemoved && isEarlier(record.sequence, sequence) ? 'late-write' : 'current';
}

/** Applies a record of the list. A record that is to be ignored leaves the lifecycle as it is. */
export function takeRecord(
  before: Lifecycle | undefined,
  record: ListRecord,
  revision: Revision,
  nowMs: Ms,
): { readonly verdict: Verdict; readonly lifecycle: Lifecycle } {
  const { startedAtMs, sequence, isLeaving } = record;
  const first = { startedAtMs, sequence, isLeaving, revision };
  if (!before) return { verdict: 'current', lifecycle: first };
  const verdict = verdictOn(before, record, revision, nowMs);
  if (verdict === 'restart') return { verdict, lifecycle: first };
  if (verdict !== 'current') return { verdict, lifecycle: before };
  const highest = Math.max(sequence ?? -Infinity, before.sequence ?? -Infinity);
  return {
    verdict,
    lifecycle: {
      startedAtMs: startedAtMs ?? before.startedAtMs,
      sequence: Number.isFinite(highest) ? highest : undefined,
      isLeaving: isLeaving || before.isLeaving,
      revision,
    },
  };
}
