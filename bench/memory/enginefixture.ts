import { setTimeout as wait } from 'node:timers/promises';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';
import type { Daemon } from '../../demo/daemon.js';
import { FakeEngine, seededFaults } from '../../standin/index.js';
import { sendPlan } from './sendplan.js';
import type { Platform } from './platform.js';
import { serviceDocument } from './servicedocument.js';

const ORDER_FAULTS = { delay: 0.3, loss: 0.15 };
const REPORT_LAG_MS = 60;
const MAX_FAULT_DELAY_MS = 250;
const RETRY_INTERVAL_MS = 100;
const SETTLE_MS = 1000;

/** An engine whose sidecar is frozen or killed and replaced by a successor in each round. */
export class EngineFixture {
  readonly engine: FakeEngine;

  /** Plans that a resumed sidecar accepted although a successor had replaced it. */
  stalePlanCount = 0;

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
   * Sends the sidecar a plan and freezes or kills it while its orders are in progress. Starts a successor and sends
   * it another plan. A frozen sidecar is then resumed and sent a third plan.
   */
  async round(isFrozen: boolean): Promise<void> {
    const previous = this.sidecar!;
    await this.placeModels(previous);
    await wait(uniformInt(this.random, 0, MAX_FAULT_DELAY_MS));
    if (isFrozen) previous.signal('SIGSTOP');
    else await previous.end('SIGKILL');
    this.sidecar = await this.platform.startSidecar(this.upstream, this.url);
    await this.placeModels(this.sidecar);
    if (isFrozen) {
      previous.signal('SIGCONT');
      if (await this.placeModels(previous)) this.stalePlanCount += 1;
    }
    await wait(SETTLE_MS);
    if (isFrozen) await previous.end('SIGKILL');
  }

  async stop(): Promise<void> {
    await this.sidecar?.end('SIGKILL');
    this.engine.close();
  }

  /** Sends a plan with two models that fit together, and retries until the sidecar accepts it. */
  private async placeModels({ port }: Daemon): Promise<boolean> {
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
    for (let attempt = 0; attempt < 30; attempt += 1) {
      const reply = await sendPlan(port, plan);
      if (reply?.accepted) return true;
      await wait(RETRY_INTERVAL_MS);
    }
    return false;
  }
}
