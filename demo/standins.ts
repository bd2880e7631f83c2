import {
  FakeEngine,
  FakeHostList,
  FakeService,
  FakeWeightStore,
  noFaults,
  seededFaults,
  MemoryStore,
  StoreServer,
} from '../standin/index.js';
import type { Deployment } from './deployment.js';
import { sizes } from './sizes.js';

const HOST_LIST_LAG_MS = 500;
const REPORT_LAG_MS = 100;
const SEED = 7;

/** Shares of calls with each fault, in addition to the failures of the scenario. */
const ENGINE_FAULTS = { delay: 0.02, loss: 0.01, crossing: 0.01, cut: 0.03 };
const ORDER_FAULTS = { delay: 0.1, loss: 0.1, cut: 0.1 };
const SERVICE_FAULTS = { delay: 0.02, loss: 0.005, crossing: 0.005, cut: 0.01 };
const TOKENS = 20;

/** Stand-ins for everything outside the system: engines, plain services, weight store, host list and store. */
export class StandIns {
  readonly engines: readonly FakeEngine[];

  readonly services: readonly FakeService[];

  readonly hosts = new FakeHostList(HOST_LIST_LAG_MS);

  private readonly weightStore: FakeWeightStore;

  private readonly store = new StoreServer(new MemoryStore());

  constructor(deployment: Deployment) {
    const { engineService, engineCount, plainCount, parallelLoads, serviceMs } = deployment;
    const faultsOf = (index: number, shares: Parameters<typeof seededFaults>[1]) =>
      deployment.hasFaults ? seededFaults(SEED + index, shares) : noFaults;
    this.weightStore = new FakeWeightStore({ loadsPerSecond: 3, parallelLoads });
    this.services = Array.from(
      { length: plainCount },
      (_, index) =>
        new FakeService({
          serviceMs,
          faults: faultsOf(index, SERVICE_FAULTS),
        }),
    );
    this.engines = Array.from(
      { length: engineCount },
      (_, index) =>
        new FakeEngine({
          engineId: `${engineService}-${index + 1}`,
          tokens: TOKENS,
          memoryBytes: sizes.memoryBytes,
          kvCacheBytes: sizes.kvCacheReserveBytes,
          kvCacheBytesPerToken: sizes.kvCacheBytesPerToken,
          checksFencing: index === 0,
          reportLagMs: REPORT_LAG_MS,
          weightStore: this.weightStore,
          faults: faultsOf(index, ENGINE_FAULTS),
          orderFaults: faultsOf(index, ORDER_FAULTS),
        }),
    );
  }

  /** Returns how often the operation with this business key ran, over all plain services. */
  runs(key: string): number {
    return this.services.reduce((sum, service) => sum + service.runs(key), 0);
  }

  /** Starts all stand-ins and returns their URLs; engines come first in `upstreams`. */
  async listen(): Promise<{ store: string; hosts: string; upstreams: readonly string[] }> {
    const listening = [...this.engines, ...this.services].map((upstream) => upstream.listen());
    return {
      store: await this.store.listen(),
      hosts: await this.hosts.listen(),
      upstreams: await Promise.all(listening),
    };
  }

  close(): void {
    for (const engine of this.engines) engine.close();
    for (const service of this.services) service.close();
    this.hosts.close();
    this.weightStore.close();
    void this.store.close();
  }
}
