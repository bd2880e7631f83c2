import { Server, ServerCredentials, status, type ServerDuplexStream } from '@grpc/grpc-js';
import { HttpEngine, HttpService } from '../shell/engine/index.js';
import { writeWhole } from '../shell/rpc/index.js';
import {
  MeshService,
  WorkService,
  type FrameBatch,
  type Frame,
  type WorkServer,
} from '../wire/index.js';
import { callEngine } from './callengine.js';
import { callService } from './callservice.js';
import { createContext } from './createcontext.js';
import { describe } from './describe.js';
import { Door } from './door.js';
import type { SidecarSettings } from './sidecarsettings.js';
import { createParts } from './wiring/createparts.js';

const UPSTREAM_CONNECTIONS = 512;

function exchange(door: Door, call: ServerDuplexStream<FrameBatch, FrameBatch>): void {
  const gone = new AbortController();
  call.on('cancelled', () => gone.abort());
  call.on('error', () => gone.abort());
  call.on('data', (batch: FrameBatch) => {
    for (const frame of batch.frames) {
      if (frame.body?.$case !== 'head') continue;
      const { requestId, attempt } = frame;
      let sequence = 0;
      const send = (body: NonNullable<Frame['body']>) => {
        const frames = [{ requestId, attempt, sequence, body }];
        sequence += 1;
        return writeWhole(call, { frames, revision: 0, leaving: false });
      };
      void door.run(requestId, frame.body.value, gone.signal, send).then(() => call.end());
    }
  });
}

/** A running sidecar. */
interface Sidecar {
  /** Port of its listener. */
  readonly port: number;
  /** Refuses new work, waits for what is in flight, and closes. */
  stop(): Promise<void>;
}

/** Starts a sidecar: the only door to its upstream. */
export async function startSidecar(settings: SidecarSettings): Promise<Sidecar> {
  const engine =
    settings.upstreamType === 'engine'
      ? new HttpEngine(settings.upstreamUrl, UPSTREAM_CONNECTIONS)
      : undefined;
  const service = new HttpService(settings.upstreamUrl, UPSTREAM_CONNECTIONS);
  const context = createContext(settings, engine);
  const parts = createParts(context);
  const door = new Door(engine ? callEngine(engine) : callService(service), parts);
  const server = new Server();
  const handlers: WorkServer = {
    exchange: (stream) => exchange(door, stream),
    issueTicket: (call, reply) => reply(null, parts.runOnce.issue(call.request)),
    handOver: (_call, reply) => reply({ code: status.UNIMPLEMENTED }),
    place: (call, reply) => reply(null, parts.residency.place(call.request)),
    rescue: (call, reply) => reply(null, parts.residency.rescue(call.request)),
    describe: (_call, reply) => reply(null, describe(context)),
  };
  server.addService(WorkService, handlers);
  server.addService(MeshService, context.board.handlers());
  const port = await new Promise<number>((resolve, reject) => {
    server.bindAsync(settings.listen, ServerCredentials.createInsecure(), (error, bound) =>
      error ? reject(error) : resolve(bound),
    );
  });
  context.board.start(settings.listen.replace(/\d+$/, String(port)));
  context.log.info('listening', { port, upstream: settings.upstream });
  return {
    port,
    async stop() {
      await door.drain();
      await new Promise<void>((resolve) => {
        server.tryShutdown(() => resolve());
      });
      context.close();
      await engine?.close();
      await service.close();
    },
  };
}
