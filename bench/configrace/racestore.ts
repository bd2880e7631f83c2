import { systemClock, VirtualClock, type Clock } from '../../src/base/index.js';
import type { KeyValueStore } from '../../src/port/index.js';
import { EtcdStore } from '../../src/shell/store/index.js';
import { MemoryStore, StoreServer, type StoreFaults } from '../../standin/index.js';

const UNLIMITED = Number.MAX_SAFE_INTEGER;
const TIMEOUT_MS = 2000;
const STEP_MS = 5;

/** The store of a race and the clock that it runs on. */
interface RaceStore {
  /** The store that operators call. */
  readonly store: KeyValueStore;
  /** The stand-in that holds the data, including the history of accepted writes. */
  readonly memoryStore: MemoryStore;
  readonly clock: Clock;
  /** Advances time until the work is done. */
  readonly run: (work: Promise<unknown>) => Promise<void>;
  readonly close: () => Promise<void>;
}

function settled(): Promise<void> {
  return new Promise((resolve) => {
    setImmediate(resolve);
  });
}

async function advanceUntil(work: Promise<unknown>, clock: VirtualClock): Promise<void> {
  let done = false;
  const ended = work.finally(() => {
    done = true;
  });
  const isDone = () => done;
  while (!isDone()) {
    clock.advanceTo(clock.nowMs() + STEP_MS);
    await settled();
  }
  await ended;
}

function createStore(faults: StoreFaults, clock: Clock): MemoryStore {
  const rates = { readsPerSecond: UNLIMITED, writesPerSecond: UNLIMITED };
  return new MemoryStore({ clock, faults, ...rates });
}

/** Creates stores for races: called directly in virtual time, or through the etcd driver over HTTP in real time. */
export const raceStores = {
  memory(faults: StoreFaults): Promise<RaceStore> {
    const clock = new VirtualClock();
    const memoryStore = createStore(faults, clock);
    const run = (work: Promise<unknown>) => advanceUntil(work, clock);
    return Promise.resolve({
      store: memoryStore,
      memoryStore,
      clock,
      run,
      close: () => Promise.resolve(),
    });
  },
  async gateway(faults: StoreFaults): Promise<RaceStore> {
    const memoryStore = createStore(faults, systemClock);
    const server = new StoreServer(memoryStore);
    const store = new EtcdStore({
      urls: [await server.listen()],
      readsPerSecond: UNLIMITED,
      writesPerSecond: UNLIMITED,
      timeoutMs: TIMEOUT_MS,
      clock: systemClock,
      seed: faults.seed ?? 1,
    });
    const run = async (work: Promise<unknown>) => {
      await work;
    };
    const close = async () => {
      await store.close();
      await server.close();
    };
    return { store, memoryStore, clock: systemClock, run, close };
  },
};
