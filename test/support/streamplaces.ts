import type { Clock, ModelId, Ms } from '../../src/base/index.js';
import type { FindAnswer } from '../../src/direct/orders/index.js';
import type { Target } from '../../src/direct/route/index.js';
import type { ListServer } from './listserver.js';

interface StreamPlacesOptions {
  readonly clock: Clock;
  readonly servers: readonly ListServer[];
  readonly models: readonly ModelId[];
  /** False plants a defect: a replica counts whatever its software version. */
  readonly knowsVersions: boolean;
}

interface Load {
  readonly server: ListServer;
  readonly model: ModelId;
  readonly start: number;
  readonly atMs: Ms;
}

/** Time after which the holder knows from reports that a server is down. */
const NOTICED_MS = 1000;
const LOAD_MS = 1200;
const UNPLANNED_MS = 900;

/** Places of models at servers, as an order lease holder plans them: each server starts with one model. */
export class StreamPlaces {
  private readonly loads: Load[] = [];

  private readonly provided = new Set<ListServer>();

  constructor(private readonly options: StreamPlacesOptions) {}

  /** Gives new servers their first model, and ends loads. */
  step(): void {
    const { servers, models, clock } = this.options;
    for (const server of servers) {
      if (this.provided.has(server)) continue;
      server.hold(models[this.provided.size % models.length]!);
      this.provided.add(server);
    }
    for (const load of [...this.loads]) {
      const { server, start, atMs, model } = load;
      const isLost = server.startCount !== start || !server.isReady;
      if (!isLost && clock.nowMs() < atMs) continue;
      this.loads.splice(this.loads.indexOf(load), 1);
      if (!isLost) server.hold(model);
    }
  }

  /** Answers an entry that knows no server for a target. */
  find({ model, origin }: Target): FindAnswer {
    const { servers, clock, knowsVersions } = this.options;
    const known = servers.filter(
      ({ isReady, downSinceMs }) => isReady && clock.nowMs() - downSinceMs < NOTICED_MS,
    );
    const fit = known.filter(
      ({ softwareVersion }) => !origin || softwareVersion === origin.softwareVersion,
    );
    const ready = fit.find((server) => server.holds(model!));
    if (ready) return { type: 'ready', upstream: ready.id };
    const isHeld = !knowsVersions && known.some((server) => server.holds(model!));
    const [target] = fit;
    if (isHeld || !target) return { type: 'later', inMs: UNPLANNED_MS, isUnderWay: false };
    const isFor = (load: Load) => load.model === model && fit.includes(load.server);
    let load = this.loads.find(isFor);
    if (!load) {
      const { startCount: start } = target;
      load = { server: target, model: model!, start, atMs: clock.nowMs() + LOAD_MS };
      this.loads.push(load);
    }
    return { type: 'later', inMs: Math.max(25, load.atMs - clock.nowMs()), isUnderWay: true };
  }

  /** Returns the servers that have the only replica of a model at their version, where another one could load it. */
  only(): ListServer[] {
    const { models, servers } = this.options;
    const ready = servers.filter(({ isReady, isServing }) => isReady && isServing);
    return ready.filter((server) => {
      const peers = ready.filter(
        (other) => other !== server && other.softwareVersion === server.softwareVersion,
      );
      const isOnly = (model: ModelId) =>
        server.holds(model) && !peers.some((other) => other.holds(model));
      return peers.length >= 2 && models.some(isOnly);
    });
  }
}
