import { Server } from '@grpc/grpc-js';
import { HttpEngine, HttpService } from '../shell/engine/index.js';
import { channelOptions } from '../shell/rpc/index.js';
import { MeshService, WorkService, type WorkServer } from '../wire/index.js';
import { callEngine } from './callengine.js';
import { callService } from './callservice.js';
import { createContext } from './createcontext.js';
import { describe } from './describe.js';
import { RequestRunner } from './requestrunner.js';
import { Exchanges } from './exchanges.js';
import { CacheHandOver, acceptCache } from './handover/index.js';
import type { SidecarSettings } from './sidecarsettings.js';
import { stopSidecar } from './stopsidecar.js';
import { createParts } from './wiring/createparts.js';

const UPSTREAM_CONNECTIONS = 512;

/** A running sidecar. */
interface Sidecar {
  /** Port of its listener. */
  readonly port: number;
  /** Refuses new requests, waits up to `drainTimeoutMs` for those in flight, and closes. */
  stop(): Promise<void>;
  /** Ends all requests in flight at once, each with a typed failure. */
  expire(): void;
}

/** Starts a sidecar. */
export async function startSidecar(settings: SidecarSettings): Promise<Sidecar> {
  const engine =
    settings.upstreamType === 'engine'
      ? new HttpEngine(settings.upstreamUrl, UPSTREAM_CONNECTIONS)
      : undefined;
  const service = new HttpService(settings.upstreamUrl, UPSTREAM_CONNECTIONS);
  const context = createContext(settings, engine);
  const parts = createParts(context);
  const upstreamCall = engine ? callEngine(engine) : callService(service);
  const runner = new RequestRunner({ ...context, call: upstreamCall, parts });
  const handOver = new CacheHandOver(context);
  // The host list can show this host as leaving long before the stop begins.
  context.onLeaving(() => {
    runner.stopAccepting();
    parts.runOnce.leave();
  });
  const exchanges = new Exchanges(runner, context.board);
  const server = new Server(channelOptions.server);
  const handlers: WorkServer = {
    exchange: (stream) => exchanges.open(stream),
    issueTicket: (call, reply) => reply(null, parts.runOnce.issue(call.request)),
    handOver: (call, reply) => reply(null, parts.runOnce.adopt(call.request)),
    importCache: (call, reply) => {
      void acceptCache(context, parts.residency, call.request).then((taken) => reply(null, taken));
    },
    place: (call, reply) => reply(null, parts.residency.place(call.request)),
    rescue: (call, reply) => reply(null, parts.residency.rescue(call.request)),
    describe: (_call, reply) => reply(null, describe(context, parts.admission.load())),
  };
  server.addService(WorkService, handlers);
  server.addService(MeshService, context.board.handlers());
  const port = await new Promise<number>((resolve, reject) => {
    server.bindAsync(settings.listen, context.credentials.server, (error, bound) =>
      error ? reject(error) : resolve(bound),
    );
  });
  context.board.start(settings.listen.replace(/\d+$/, String(port)));
  context.log.info('listening', { port, upstream: settings.upstream });
  let stopped: Promise<void> | undefined;
  const stop = async () => {
    await stopSidecar({ context, parts, runner, handOver, exchanges, server });
    context.close();
    await engine?.close();
    await service.close();
  };
  return {
    port,
    stop() {
      stopped ??= stop();
      return stopped;
    },
    expire() {
      handOver.giveUp();
      runner.expire();
    },
  };
}
