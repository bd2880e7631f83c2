import { setTimeout as wait } from 'node:timers/promises';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';
import type { Daemon } from '../../demo/daemon.js';
import { FakeEngine, seededFaults } from '../../standin/index.js';
import { planCall } from './plancall.js';
import type { Platform } from './platform.js';
import { serviceDocument } from './servicedocument.js';

const ORDER_FAULTS = { delay: 0.3, loss: 0.15 };
const REPORT_LAG_MS = 60;
const LONGEST_BEFORE_MS = 250;
const TRIES_MS = 100;
const SETTLE_MS = 1000;

/** One engine whose sidecar is frozen or killed in each round, and followed by another. */
export class EngineSite {
  readonly engine: FakeEngine;

  /** Plans that a woken sidecar took although another had followed it. */
  staleAccepted = 0;

  private url = '';

  private epoch = 0;

  private sidecar: Daemon | undefined;

  constructor(
    private readonly platform: Platform,
    readonly upstream: string,
    readonly checksFencing: boolean,
    private readonly random: RandomGenerator,
    seed: number,
  ) {
    this.engine = new FakeEngine({
      engineId: upstream,
      memoryBytes: serviceDocument.memoryBytes,
      kvCacheBytes: serviceDocument.kvCacheReserveBytes,
      kvCacheBytesPerToken: 0,
      unloadMs: 20,
      checksFencing,
      reportLagMs: REPORT_LAG_MS,
      orderFaults: seededFaults(seed, ORDER_FAULTS),
    });
  }

  async start(): Promise<void> {
    this.url = await this.engine.listen();
    this.sidecar = await this.platform.startSidecar(this.upstream, this.url);
  }

  /**
   * The sidecar gets a plan and is frozen or killed with its orders under way; another follows and gets
   * another plan; the first wakes up and is told to load something else.
   */
  async round(isFrozen: boolean): Promise<void> {
    const old = this.sidecar!;
    await this.plan(old);
    await wait(uniformInt(this.random, 0, LONGEST_BEFORE_MS));
    if (isFrozen) old.signal('SIGSTOP');
    else await old.end('SIGKILL');
    this.sidecar = await this.platform.startSidecar(this.upstream, this.url);
    await this.plan(this.sidecar);
    if (isFrozen) {
      old.signal('SIGCONT');
      if (await this.plan(old)) this.staleAccepted += 1;
    }
    await wait(SETTLE_MS);
    if (isFrozen) await old.end('SIGKILL');
  }

  async stop(): Promise<void> {
    await this.sidecar?.end('SIGKILL');
    this.engine.close();
  }

  /** Tells a sidecar to hold two models that fit together, as soon as it takes plans. */
  private async plan({ port }: Daemon): Promise<boolean> {
    this.epoch += 1;
    const { models, name } = serviceDocument;
    const first = uniformInt(this.random, 0, models.length - 1);
    const second = (first + uniformInt(this.random, 1, models.length - 1)) % models.length;
    const wanted = [models[first] ?? '', models[second] ?? ''];
    const plan = {
      cell: name,
      epoch: this.epoch,
      sequence: 1,
      upstream: this.upstream,
      models: wanted.map((model) => ({ model, version: '', adapters: [], urgency: 1 })),
      role: '',
      keepUntilPlaced: [],
    };
    for (let tries = 0; tries < 30; tries += 1) {
      const reply = await planCall(port, plan);
      if (reply?.accepted) return true;
      await wait(TRIES_MS);
    }
    return false;
  }
}
