import { LoopbackServer } from '../loopbackserver.js';
import { sendJson } from '../sendjson.js';

/** A host as it appears in the platform's list. */
interface ListedHost {
  readonly id: string;
  readonly role: 'entry' | 'sidecar';
  readonly address: string;
  readonly availabilityZone: string;
  readonly region: string;
  readonly state: 'live' | 'leaving';
}

interface ListVersion {
  readonly atMs: number;
  readonly hosts: readonly ListedHost[];
}

/** A stand-in for the platform's list of hosts. A GET of any path returns the list as it was `lagMs` ago. */
export class FakeHostList {
  private versions: ListVersion[] = [{ atMs: -Infinity, hosts: [] }];

  private readonly server = new LoopbackServer((_request, response) =>
    sendJson(response, 200, this.visibleHosts()),
  );

  constructor(private readonly lagMs = 0) {}

  /** Replaces the list; readers see the change after `lagMs`. */
  set(hosts: readonly ListedHost[]): void {
    this.versions = [...this.versions, { atMs: performance.now(), hosts }];
  }

  /** Returns the hosts that a reader sees now. */
  visibleHosts(): readonly ListedHost[] {
    const limitMs = performance.now() - this.lagMs;
    return this.versions.findLast(({ atMs }) => atMs <= limitMs)?.hosts ?? [];
  }

  listen(): Promise<string> {
    return this.server.listen();
  }

  close(): void {
    this.server.close();
  }
}
