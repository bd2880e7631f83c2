import { LoopbackServer } from '../loopbackserver.js';
import { sendJson } from '../sendjson.js';

/** One host, as the platform lists it. */
interface ListedHost {
  readonly id: string;
  readonly role: 'entry' | 'sidecar';
  readonly address: string;
  readonly availabilityZone: string;
  readonly region: string;
  readonly state: 'live' | 'leaving';
}

interface Edition {
  readonly atMs: number;
  readonly hosts: readonly ListedHost[];
}

/** A stand-in for the platform's list of hosts: a GET of any path gives it as it was a while ago. */
export class FakeHostList {
  private editions: Edition[] = [{ atMs: -Infinity, hosts: [] }];

  private readonly server = new LoopbackServer((_request, response) =>
    sendJson(response, 200, this.told()),
  );

  constructor(private readonly lagMs = 0) {}

  /** What the list becomes, once the lag has passed. */
  set(hosts: readonly ListedHost[]): void {
    this.editions = [...this.editions, { atMs: performance.now(), hosts }];
  }

  /** The hosts that a reader is told of now. */
  told(): readonly ListedHost[] {
    const limitMs = performance.now() - this.lagMs;
    return this.editions.findLast(({ atMs }) => atMs <= limitMs)?.hosts ?? [];
  }

  listen(): Promise<string> {
    return this.server.listen();
  }

  close(): void {
    this.server.close();
  }
}
