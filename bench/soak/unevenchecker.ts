import type { Call } from './call.js';
import { customers } from './customers.js';
import type { ListedServer, Site } from './site.js';
import type { UnevenLoad } from './unevenload.js';

type LoadCall = Call & { readonly load: NonNullable<Call['load']> };

/** Calls of either side below which their shares show nothing. */
const MIN_CALLS = 30;
const MIN_SHARE = 0.8;
const MAX_LEAD = 0.05;
/** Standard errors by which two shares may differ by chance; requests come in bursts, so that shares vary more than counts alone. */
const STANDARD_ERRORS = 3;
/** A refusal may be decided this long before its caller sees it, or on figures of that age. */
const DECIDED_MS = 250;
/** Problem types of refusals that are not for want of capacity. */
const OTHER_REASON = /urn:tarragonstile:(?:quota-|stopping)/;
const PROBLEM_TYPE = /urn:tarragonstile:([a-z-]+)/;
/** A call is calm if nothing was disturbed from this long before it to its end. */
const CALM_MS = 3000;
/** What a swell leaves in queues is gone by then: callers wait 4 s at most. */
const AFTER_SWELL_MS = 1000;

function isServed({ status, isWhole }: Call): boolean {
  return status === 200 && isWhole;
}

function shareOf(calls: readonly Call[]): number {
  return calls.filter(isServed).length / calls.length;
}

/** Returns the difference of two shares that chance may make. */
function chance(one: readonly Call[], other: readonly Call[]): number {
  const mean = shareOf([...one, ...other]);
  return STANDARD_ERRORS * Math.sqrt(mean * (1 - mean) * (1 / one.length + 1 / other.length));
}

/** Checks what callers get while servers have few slots and customers compete for them. */
export class UnevenChecker {
  constructor(
    private readonly site: Site,
    private readonly swells: UnevenLoad['swells'],
    private readonly breach: (promise: string, detail: string) => void,
  ) {}

  judge(calls: readonly Call[]): void {
    const load = calls.filter((call): call is LoadCall => call.load !== undefined);
    for (const call of load) this.comesBack(call);
    const calm = load.filter((call) => this.isCalm(call));
    const entryOf = new Map(calls.map(({ id, entry }) => [id, entry]));
    for (const call of calm) this.freeSlots(call, entryOf);
    const usual = calm.filter(({ held }) => held!.customer !== customers.loadNames.at(-1));
    for (const kind of ['charge', 'draft']) this.order(kind, usual);
    this.fairness(usual);
  }

  private comesBack({ id, status, retryAfter }: LoadCall): void {
    const isRefused = status === 503 || status === 429;
    if (!isRefused || Number(retryAfter) > 0) return;
    this.breach('a refusal says when to come back', `${id}: ${status}, ${retryAfter}`);
  }

  private freeSlots(call: LoadCall, entryOf: ReadonlyMap<string, number>): void {
    if (call.status !== 503 || OTHER_REASON.test(call.body)) return;
    const untilMs = call.endedAtMs ?? Infinity;
    const fromMs = untilMs - DECIDED_MS;
    const isDuring = (startMs: number, endMs = Infinity) => startMs < untilMs && endMs > fromMs;
    const able = this.site.servers.filter((listed) => this.isAble(listed, call, fromMs, untilMs));
    let used = 0;
    for (const { server } of able) {
      const waits = server.gate!.waits.filter(
        (wait) => entryOf.get(wait.id) === call.entry && isDuring(wait.fromMs, wait.untilMs),
      );
      if (waits.length > 0) return;
      used += server.requestLog.filter((run) => isDuring(run.atMs, run.closedAtMs)).length;
    }
    const slots = able.reduce((sum, { server }) => sum + server.gate!.slots, 0);
    if (used * 2 >= slots) return;
    const [, type = 'no problem'] = PROBLEM_TYPE.exec(call.body) ?? [];
    const detail = `${call.id} ${call.kind} ${call.load.model ?? ''}: ${used} of ${slots} used, refused as ${type}`;
    this.breach('no refusal while more than half of the slots are free', detail);
  }

  /** True if a server could run the call for the whole of a time. */
  private isAble(
    { server, drainAtMs = Infinity }: ListedServer,
    { kind, load: { model } }: LoadCall,
    fromMs: number,
    untilMs: number,
  ): boolean {
    const isService = server.service === (kind === 'draft' ? 'engine' : 'plain');
    if (!isService || drainAtMs < untilMs) return false;
    if (model === undefined) return true;
    const { residencyLog: records } = server;
    const since = records.findLast(({ atMs }) => atMs < fromMs) ?? records[0];
    const during = records.filter(({ atMs }) => atMs >= fromMs && atMs < untilMs);
    return [since, ...during].every((record) => record?.models.includes(model));
  }

  private order(kind: string, calls: readonly LoadCall[]): void {
    const own = calls.filter((call) => call.kind === kind);
    const urgent = own.filter(({ load }) => load.priority === 0);
    const others = own.filter(({ load }) => load.priority !== 0);
    if (urgent.length < MIN_CALLS || others.length < MIN_CALLS) return;
    const [share, otherShare] = [shareOf(urgent), shareOf(others)];
    if (otherShare - share <= MAX_LEAD + chance(urgent, others)) return;
    const detail = `${kind}: ${share.toFixed(2)} of ${urgent.length}, ${otherShare.toFixed(2)} of ${others.length}`;
    this.breach('a less urgent kind is not served more often', detail);
  }

  private fairness(calls: readonly LoadCall[]): void {
    const { swells } = this;
    const beside = calls.filter(({ sentAtMs }) =>
      swells.some(({ fromMs, untilMs }) => sentAtMs > fromMs && sentAtMs < untilMs),
    );
    const without = calls.filter(({ sentAtMs, endedAtMs = Infinity }) =>
      swells.every(
        ({ fromMs, untilMs }) => endedAtMs < fromMs || sentAtMs > untilMs + AFTER_SWELL_MS,
      ),
    );
    if (beside.length < MIN_CALLS || without.length < MIN_CALLS) return;
    const [share, usualShare] = [shareOf(beside), shareOf(without)];
    if (share >= MIN_SHARE * usualShare - chance(beside, without)) return;
    const detail = `${share.toFixed(2)} of ${beside.length}, ${usualShare.toFixed(2)} of ${without.length} without`;
    this.breach('customers within their usual load are served beside a swelling one', detail);
  }

  /** True if no fault that callers may notice was injected and nothing was disturbed shortly before a call and while it lasted. */
  private isCalm({ entry, sentAtMs, endedAtMs = Infinity }: Call): boolean {
    const { site } = this;
    const times = [
      ...site.faultedAtMs,
      ...site.storeDisturbedAtMs,
      ...site.serversDisturbedAtMs,
      ...site.entries[entry]!.disturbedAtMs,
    ];
    return !times.some((atMs) => atMs > sentAtMs - CALM_MS && atMs < endedAtMs);
  }
}
