import type { Call } from './call.js';
import { customers } from './customers.js';
import type { Site } from './site.js';

/** A run of a call at a server, as far as it tells of customers. */
interface KeyedRun {
  readonly atMs: number;
  readonly customer: string | undefined;
  readonly hasCredential: boolean;
}

/** What the witness of all promises gives to this one. */
interface KeyWitnessOptions {
  readonly site: Site;
  readonly slackMs: number;
  readonly runsOf: (call: Call) => readonly KeyedRun[];
  /** Whether nothing was done to the call's entry, or the store, for a while before then. */
  readonly isCalm: (call: Call, fromMs: number) => boolean;
  readonly breach: (promise: string, detail: string) => void;
}

const APPLY_MS = 2000;

/** Judges what concerns keys, customers and their limits. */
export class KeyWitness {
  constructor(private readonly options: KeyWitnessOptions) {}

  judge(calls: readonly Call[]): void {
    const keyed = calls.filter(({ held }) => held !== undefined);
    for (const call of keyed) {
      this.named(call);
      this.removed(call);
      this.added(call);
    }
    this.limited(keyed);
  }

  /** The customer's name goes with every run, the key with none; a key that nobody has runs nowhere. */
  private named(call: Call): void {
    const { runsOf, breach } = this.options;
    const { customer } = call.held!;
    for (const run of runsOf(call)) {
      if (customer === undefined) breach('an unknown key runs nowhere', call.id);
      else if (run.customer !== customer) {
        breach('a request is named by its key', `${call.id}: ${run.customer}, not ${customer}`);
      }
      if (run.hasCredential) breach('a key goes to no server', call.id);
    }
  }

  private removed(call: Call): void {
    const { site, slackMs, runsOf, isCalm, breach } = this.options;
    const { version } = call.held!;
    if (version === undefined) return;
    const goneAtMs = site.acceptedAtMs.get(version + customers.keptKeys) ?? Infinity;
    for (const { atMs } of runsOf(call)) {
      if (atMs <= goneAtMs + APPLY_MS + slackMs || !isCalm(call, atMs)) continue;
      breach('a removed key is refused in seconds', `${call.id}: version ${version}`);
    }
  }

  private added(call: Call): void {
    const { site, slackMs, isCalm, breach } = this.options;
    const { customer, version = 1 } = call.held!;
    const { sentAtMs, endedAtMs = Infinity, status, id } = call;
    if (customer === undefined || status !== 401) return;
    const cameAtMs = site.acceptedAtMs.get(version) ?? Infinity;
    const goneAtMs =
      call.held!.version === undefined
        ? Infinity
        : (site.acceptedAtMs.get(version + customers.keptKeys) ?? Infinity);
    if (sentAtMs <= cameAtMs + APPLY_MS + slackMs || endedAtMs >= goneAtMs) return;
    if (isCalm(call, sentAtMs)) breach('a key is in force in seconds', id);
  }

  /** In no window more of the limited customer arrives than its limit allows, whatever was done to entries. */
  private limited(calls: readonly Call[]): void {
    const { runsOf, breach } = this.options;
    const times = calls
      .filter(({ held }) => held!.customer === 'tight')
      .flatMap((call) => runsOf(call).map(({ atMs }) => atMs))
      .sort((a, b) => a - b);
    let from = 0;
    let most = 0;
    for (const [at, atMs] of times.entries()) {
      while (times[from]! < atMs - customers.windowMs) from += 1;
      most = Math.max(most, (at - from + 1) * customers.cost);
    }
    if (most <= customers.mostInWindow) return;
    breach('a limit holds over all entries', `${most} of ${customers.mostInWindow} tokens`);
  }
}
