import type { Call } from './call.js';
import type { Site } from './site.js';

/** What the promise checker provides. */
interface StreamCheckerOptions {
  readonly site: Site;
  /** Returns true if neither the call's entry nor the store was disturbed shortly before it was sent. */
  readonly isCalm: (call: Call) => boolean;
  readonly breach: (promise: string, detail: string) => void;
}

/** Streams that are taken up below which their share shows nothing. */
const MIN_RESUMED = 12;
/** Servers of its version that have to serve for a stream to be expected to go on. */
const MIN_SERVERS = 2;

function versionsIn({ body }: Call): string[] {
  return [...body.matchAll(/ by (v[\d.]+)$/gm)].map(([, version]) => version!);
}

function hasEvents({ body }: Call): boolean {
  return body.includes('id: ');
}

/** Checks that streams hold events of one software version over all tries of their callers, and that they go on. */
export class StreamChecker {
  constructor(private readonly options: StreamCheckerOptions) {}

  judge(calls: readonly Call[]): void {
    const streams = calls.filter(({ kind }) => kind === 'batch');
    const versionsByStream = new Map<string, Set<string>>();
    for (const call of streams) {
      const first = call.resumed?.first ?? call.id;
      const versions = versionsByStream.get(first) ?? new Set();
      versionsByStream.set(first, versions);
      for (const version of versionsIn(call)) versions.add(version);
    }
    for (const [first, versions] of versionsByStream) {
      if (versions.size < 2) continue;
      const detail = `${first}: ${[...versions].join()}`;
      this.options.breach('a stream holds events of one software version', detail);
    }
    this.goOn(streams, versionsByStream);
  }

  private goOn(
    streams: readonly Call[],
    versionsByStream: ReadonlyMap<string, ReadonlySet<string>>,
  ): void {
    // Each call draws a key anew: one that is not in force, or whose customer is over its limit, shows nothing of streams.
    const isAdmitted = ({ status }: Call) => status !== 401 && status !== 429;
    const calm = streams.filter(
      (call) => call.leftAtMs === undefined && isAdmitted(call) && this.options.isCalm(call),
    );
    const begun = calm.filter(({ resumed }) => !resumed);
    const resumed = calm.filter((call) => {
      const [version] = versionsByStream.get(call.resumed?.first ?? '') ?? [];
      return version !== undefined && this.serverCount(version, call) >= MIN_SERVERS;
    });
    if (resumed.length < MIN_RESUMED || begun.length === 0) return;
    const wentOn = resumed.filter(hasEvents).length;
    const leastShare = begun.filter(hasEvents).length / begun.length / 2;
    if (wentOn / resumed.length >= leastShare) return;
    const detail = `${wentOn} of ${resumed.length}, at least ${leastShare.toFixed(2)} of them expected`;
    this.options.breach('streams that are taken up go on', detail);
  }

  /** Returns how many servers of a version served for the whole of a call. */
  private serverCount(version: string, { endedAtMs = Infinity }: Call): number {
    const serving = this.options.site.servers.filter(
      ({ server, drainAtMs = Infinity }) =>
        server.softwareVersion === version && !server.isDown && drainAtMs > endedAtMs,
    );
    return serving.length;
  }
}
