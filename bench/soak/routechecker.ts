import type { Call } from './call.js';
import { changingRoutes } from './changingroutes.js';
import type { Site } from './site.js';

/** What the promise checker provides. */
interface RouteCheckerOptions {
  readonly site: Site;
  readonly slackMs: number;
  /** Ids of the servers that ran a call. */
  readonly serversOf: (call: Call) => readonly string[];
  /** True if the call's entry and the store were undisturbed before and since `fromMs`. */
  readonly isCalm: (call: Call, fromMs: number) => boolean;
  readonly breach: (promise: string, detail: string) => void;
}

const APPLY_MS = 2000;

/** Checks that routes are served as a configuration says that may be in force: withdrawn, moved or with another time-out. */
export class RouteChecker {
  private readonly serviceOf: ReadonlyMap<string, string>;

  constructor(private readonly options: RouteCheckerOptions) {
    const { servers } = options.site;
    this.serviceOf = new Map(servers.map(({ server }) => [server.id, server.service]));
  }

  judge(calls: readonly Call[]): void {
    for (const call of calls) {
      if (!this.options.isCalm(call, this.boundMs(call))) continue;
      if (call.kind === 'probe') this.withdrawn(call);
      if (call.kind === 'moving') this.moved(call);
      if (call.kind === 'timed') this.timed(call);
    }
  }

  /** Time before which a version has to be accepted to be in force, at the latest, when a call was sent. */
  private boundMs({ sentAtMs }: Call): number {
    return sentAtMs - APPLY_MS - this.options.slackMs;
  }

  /** Returns the versions that may be in force during a call. */
  private possible(call: Call): number[] {
    const { acceptedAtMs } = this.options.site;
    const boundMs = this.boundMs(call);
    const { endedAtMs = Infinity } = call;
    return [...acceptedAtMs]
      .filter(([version, atMs]) => {
        const replacedAtMs = acceptedAtMs.get(version + 1) ?? Infinity;
        return atMs < endedAtMs && replacedAtMs > boundMs;
      })
      .map(([version]) => version);
  }

  private withdrawn(call: Call): void {
    const { site, serversOf, breach } = this.options;
    const withdrawnAtMs = site.acceptedAtMs.get(call.version + site.probeRoutes) ?? Infinity;
    if (this.boundMs(call) < withdrawnAtMs || serversOf(call).length === 0) return;
    breach('a withdrawn route is not served', `${call.id}: route of version ${call.version}`);
  }

  private moved(call: Call): void {
    const { serversOf, breach } = this.options;
    const allowed = new Set(this.possible(call).map(changingRoutes.serviceOf));
    for (const server of serversOf(call)) {
      const service = this.serviceOf.get(server)!;
      if (allowed.has(service)) continue;
      breach('a moved route is served by its service', `${call.id}: ${service} at ${server}`);
    }
  }

  private timed(call: Call): void {
    const isShort = this.possible(call).every(changingRoutes.isShort);
    if (!isShort || call.status !== 200) return;
    this.options.breach('a changed time-out takes effect', call.id);
  }
}
