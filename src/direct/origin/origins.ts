import type { Clock, ModelId, Ms, RequestId, Revision } from '../../base/index.js';
import {
  copyHolders,
  type Member,
  type OriginHistory,
  type StreamOrigin,
} from '../../core/origin/index.js';
import type { Route } from '../../core/routetable/index.js';
import type { Log, Metrics } from '../../port/index.js';
import type { Caller } from '../caller.js';
import { CopyOutbox } from './copyoutbox.js';
import type { FoundOrigin } from './foundorigin.js';
import type { OriginAnswer } from './originanswer.js';
import { maxKeepMs } from './maxkeepms.js';
import type { OriginCopy } from './origincopy.js';
import { OriginTable } from './origintable.js';
import { PendingCopies } from './pendingcopies.js';

interface OriginsOptions {
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
  /** Name of this entry. */
  readonly entry: string;
  readonly history: OriginHistory;
  readonly members: () => readonly Member[];
  /** Returns the greatest possible age of the list of upstreams. */
  readonly listAgeMs: () => Ms;
  /** Sends copies to another entry. Returns false if it did not answer. */
  readonly copy: (address: string, copies: readonly OriginCopy[]) => Promise<boolean>;
  /** Has a copy stored where it outlives all entries. */
  readonly store: (copy: OriginCopy) => void;
  /** Asks another entry; undefined if it did not answer in time. */
  readonly ask: (address: string, id: RequestId) => Promise<OriginAnswer | undefined>;
}

/** A request whose stream begins. */
interface Beginning {
  readonly id: RequestId;
  readonly route: Route;
  readonly model: ModelId | undefined;
  readonly origin: StreamOrigin;
  /** How much longer the caller may take the stream up. */
  readonly keepMs: Ms;
}

/** A change of the list is known to every entry that is not disturbed within this time. */
const LIST_FRESH_MS = 2000;
/**
 * Where other entries have answered that they keep no copy and know no later record of versions, the stream began while
 * its entry saw one version alone, so the list only has to show the same one.
 */
const LIST_CONFIRMED_MS = 30_000;
/** Other entries that have to answer so: of the two that keep a copy one may have started again. */
const CONFIRMATIONS = 2;
/** A caller may be a little later than it has announced. */
const KEEP_MARGIN_MS = 5000;

function isSameOrigin(one: StreamOrigin, other: StreamOrigin): boolean {
  return (
    one.service === other.service &&
    one.softwareVersion === other.softwareVersion &&
    one.weightsVersion === other.weightsVersion
  );
}

type Known = Extract<OriginAnswer, { readonly type: 'known' }>;

function newestOf(answers: readonly (OriginAnswer | undefined)[]): Known | undefined {
  let newest: Known | undefined;
  for (const answer of answers) {
    if (answer?.type !== 'known') continue;
    if (!newest || answer.sequence > newest.sequence) newest = answer;
  }
  return newest;
}

/**
 * Returns true if enough entries keep no copy of a stream that may have begun within this time. An entry that knows a
 * later record of versions shows that this one is out of step: the stream may have begun at a version of that record.
 */
function isConfirmed(
  answers: readonly (OriginAnswer | undefined)[],
  withinMs: Ms,
  ownRevision: Revision,
): boolean {
  let count = 0;
  for (const answer of answers) {
    if (answer?.type !== 'unknown') continue;
    if ((answer.versionsRevision ?? Infinity) > ownRevision) return false;
    if (answer.keptMs >= withinMs) count += 1;
  }
  return count >= CONFIRMATIONS;
}

/** Knows with what streams began, also those that other entries have begun, so that they go on with the same. */
export class Origins {
  private readonly table = new OriginTable();

  private readonly pending = new PendingCopies();

  private readonly outbox: CopyOutbox;

  private readonly startedAtMs: Ms;

  constructor(private readonly options: OriginsOptions) {
    const { clock, entry, members, copy, metrics } = options;
    this.startedAtMs = clock.nowMs();
    this.outbox = new CopyOutbox({
      clock,
      entry,
      members,
      send: copy,
      count: (outcome, copies) => metrics.count('direct.origin_copy', copies, { outcome }),
    });
  }

  /** Number of streams whose origin is kept here. */
  get size(): number {
    return this.table.size;
  }

  /** Records with what a stream begins, or goes on; called right before its caller gets the first event. */
  record({ id, route, model, origin, keepMs }: Beginning): void {
    const nowMs = this.options.clock.nowMs();
    const known = this.table.get(id, nowMs);
    const sequence = (known?.sequence ?? 0) + 1;
    const keptMs = Math.min(maxKeepMs, keepMs + KEEP_MARGIN_MS);
    const copy = { id, origin, sequence, keepMs: Math.round(keptMs) };
    this.table.put(copy, nowMs);
    // An origin that others were told of has to be told again when it changes.
    const isInferable = !known && this.isInferable(route, model);
    if (isInferable) this.pending.add(id, { route, model, untilMs: nowMs + keptMs });
    else {
      this.pending.delete(id, { route, model });
      this.outbox.add(copy);
      if (!known || !isSameOrigin(known.origin, origin)) this.options.store(copy);
    }
  }

  /** Finds with what the stream began that a request resumes. */
  async find(request: Caller['request'], route: Route): Promise<FoundOrigin> {
    const { resumes: id, model, deadlineMs } = request;
    const found =
      id === undefined
        ? this.inferred(route, model, LIST_FRESH_MS)
        : await this.findNamed(id, route, model);
    const { origin, source } = found;
    this.options.metrics.count('direct.origin_found', 1, { source });
    // Copies follow the members that there are now.
    const isNew = source === 'copy' || source === 'inferred';
    if (id !== undefined && isNew && origin) {
      this.record({ id, route, model, origin, keepMs: deadlineMs ?? route.timeoutMs });
    }
    return found;
  }

  /** Records what other entries have begun. */
  receive(copies: readonly OriginCopy[]): void {
    const nowMs = this.options.clock.nowMs();
    for (const copy of copies) this.table.put(copy, nowMs);
  }

  /** Answers another entry. */
  answer(id: RequestId): OriginAnswer {
    const nowMs = this.options.clock.nowMs();
    const known = this.table.get(id, nowMs);
    if (!known) {
      const { versionsRevision } = this.options.history;
      return { type: 'unknown', keptMs: Math.round(nowMs - this.startedAtMs), versionsRevision };
    }
    const { origin, sequence, sinceMs } = known;
    return { type: 'known', origin, sequence, ageMs: Math.round(nowMs - sinceMs) };
  }

  /** Tells other entries of streams whose origin they can no longer infer. Called at changes and several times a second. */
  tick(): void {
    const nowMs = this.options.clock.nowMs();
    const ids = this.pending.take(({ route, model }) => !this.isInferable(route, model), nowMs);
    for (const id of ids) {
      const known = this.table.get(id, nowMs);
      if (!known) continue;
      const { origin, sequence, untilMs } = known;
      const copy = { id, origin, sequence, keepMs: Math.round(untilMs - nowMs) };
      this.outbox.add(copy);
      this.options.store(copy);
    }
    if (ids.length > 0) this.options.log.info('stream origins told', { streams: ids.length });
  }

  private isInferable(route: Route, model: ModelId | undefined): boolean {
    const { history, listAgeMs, clock } = this.options;
    if (listAgeMs() > LIST_FRESH_MS) return false;
    return history.onlyOrigin(route, model, clock.nowMs()) !== undefined;
  }

  private async findNamed(
    id: RequestId,
    route: Route,
    model: ModelId | undefined,
  ): Promise<FoundOrigin> {
    const { clock } = this.options;
    const own = this.table.get(id, clock.nowMs());
    if (own) return { origin: own.origin, source: 'own', ageMs: clock.nowMs() - own.sinceMs };
    const answers = await this.askHolders(id);
    const copy = newestOf(answers);
    if (copy) return { origin: copy.origin, source: 'copy', ageMs: copy.ageMs };
    const { versionsRevision } = this.options.history;
    const maxListAgeMs = isConfirmed(answers, route.timeoutMs, versionsRevision)
      ? LIST_CONFIRMED_MS
      : LIST_FRESH_MS;
    return this.inferred(route, model, maxListAgeMs);
  }

  private inferred(route: Route, model: ModelId | undefined, maxListAgeMs: Ms): FoundOrigin {
    const { history, clock, listAgeMs } = this.options;
    const nowMs = clock.nowMs();
    const ageMs = listAgeMs();
    const origin =
      ageMs > LIST_FRESH_MS
        ? history.onlyOrigin(route, model, nowMs)
        : history.onlyOriginBegun(route, model, nowMs);
    if (!origin || ageMs > maxListAgeMs) return { origin: undefined, source: 'unknown' };
    return { origin, source: 'inferred' };
  }

  /** Asks the entries that may keep a copy. */
  private async askHolders(id: RequestId): Promise<(OriginAnswer | undefined)[]> {
    const { entry, members, ask } = this.options;
    const holders = copyHolders(id, members()).filter((holder) => holder.entry !== entry);
    return Promise.all(holders.map(({ address }) => ask(address, id)));
  }
}
