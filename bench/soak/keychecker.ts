import type { Call } from './call.js';
import { customers } from './customers.js';
import type { Site } from './site.js';

/** A run of a call at a server, with what the server saw of its customer. */
interface KeyedRun {
  readonly atMs: number;
  readonly customer: string | undefined;
  readonly hasCredential: boolean;
}

/** What the promise checker provides. */
interface KeyCheckerOptions {
  readonly site: Site;
  readonly slackMs: number;
  readonly runsOf: (call: Call) => readonly KeyedRun[];
  /** True if the call's entry and the store were undisturbed before and since `fromMs`. */
  readonly isCalm: (call: Call, fromMs: number) => boolean;
  readonly breach: (promise: string, detail: string) => void;
}

const APPLY_MS = 2000;

/** Checks the promises on keys, customers and customer limits. */
export class KeyChecker {
  constructor(private readonly options: KeyCheckerOptions) {}

  judge(calls: readonly Call[]): void {
    const keyed = calls.filter(({ held }) => held !== undefined);
    for (const call of keyed) {
      this.named(call);
      this.removed(call);
      this.added(call);
    }
    this.limited(keyed);
  }

  /** Every run carries the customer's name and none the key; a request with an unknown key runs nowhere. */
  private named(call: Call): void {
    const { runsOf, breach } = this.options;
    const { customer } = call.held!;
    for (const run of runsOf(call)) {
      if (customer === undefined) breach('a request with an unknown key runs nowhere', call.id);
      else if (run.customer !== customer) {
        breach(
          'a request is attributed to the customer of its key',
          `${call.id}: ${run.customer}, not ${customer}`,
        );
      }
      if (run.hasCredential) breach('no server receives a key', call.id);
    }
  }

  /** A removed key is accepted only for a short time after the configuration that removes it. */
  private removed(call: Call): void {
    const { site, slackMs, runsOf, isCalm, breach } = this.options;
    const { version } = call.held!;
    if (version === undefined) return;
    const removedAtMs = site.acceptedAtMs.get(version + customers.activeKeys) ?? Infinity;
    for (const { atMs } of runsOf(call)) {
      if (atMs <= removedAtMs + APPLY_MS + slackMs || !isCalm(call, atMs)) continue;
      breach('a removed key is refused within seconds', `${call.id}: version ${version}`);
    }
  }

  /** A key is accepted from shortly after the configuration that adds it until its removal. */
  private added(call: Call): void {
    const { site, slackMs, isCalm, breach } = this.options;
    const { customer, version = 1 } = call.held!;
    const { sentAtMs, endedAtMs = Infinity, status, id } = call;
    if (customer === undefined || status !== 401) return;
    const addedAtMs = site.acceptedAtMs.get(version) ?? Infinity;
    const removedAtMs =
      call.held!.version === undefined
        ? Infinity
        : (site.acceptedAtMs.get(version + customers.activeKeys) ?? Infinity);
    if (sentAtMs <= addedAtMs + APPLY_MS + slackMs || endedAtMs >= removedAtMs) return;
    if (isCalm(call, sentAtMs)) breach('a new key is accepted within seconds', id);
  }

  /** The limited customer's tokens never exceed its limit within a window, whatever happens to entries. */
  private limited(calls: readonly Call[]): void {
    const { runsOf, breach } = this.options;
    const times = calls
      .filter(({ held }) => held!.customer === 'tight')
      .flatMap((call) => runsOf(call).map(({ atMs }) => atMs))
      .sort((a, b) => a - b);
    let from = 0;
    let maxTokens = 0;
    for (const [at, atMs] of times.entries()) {
      while (times[from]! < atMs - customers.windowMs) from += 1;
      maxTokens = Math.max(maxTokens, (at - from + 1) * customers.cost);
    }
    if (maxTokens <= customers.maxTokensPerWindow) return;
    breach(
      'a customer limit holds across all entries',
      `${maxTokens} of ${customers.maxTokensPerWindow} tokens`,
    );
  }
}
