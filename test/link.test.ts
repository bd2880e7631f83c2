import { createServer, type AddressInfo } from 'node:net';
import { Server, ServerCredentials, type ServerDuplexStream } from '@grpc/grpc-js';
import test from 'ava';
import { systemClock, VirtualClock, type Clock } from '../src/base/index.js';
import { SharedLink } from '../src/entry/link/index.js';
import { Exchange } from '../src/sidecar/exchange.js';
import type { AnswerSink } from '../src/sidecar/answersink.js';
import { RequestHead, WorkService, type Frame, type FrameBatch } from '../src/wire/index.js';

const head = RequestHead.fromPartial({ model: 'notice-1' });

function openLink(clock: Clock): SharedLink {
  return new SharedLink({ clock, revision: () => 0, observeRevision: () => {} });
}

interface Sending {
  readonly frames: string[];
  readonly lost: Promise<boolean>;
  readonly ended: Promise<void>;
}

function ask(link: SharedLink, address: string, requestId: string): Sending {
  const frames: string[] = [];
  let resolveEnded = () => {};
  const ended = new Promise<void>((resolve) => {
    resolveEnded = resolve;
  });
  const lost = new Promise<boolean>((resolve) => {
    const attempt = link.ask(address, requestId, 1, head, {
      take({ body }: Frame) {
        frames.push(body?.$case ?? '');
        if (body?.$case !== 'refusal' && body?.$case !== 'end') return;
        attempt.done();
        resolveEnded();
      },
      lost: (unsent) => resolve(unsent),
    });
  });
  return { frames, lost, ended };
}

/** Starts a sidecar's gRPC server that runs requests with the given function. */
async function serve(run: (requestId: string, sink: AnswerSink) => Promise<void>) {
  const server = new Server();
  const exchanges: Exchange[] = [];
  server.addService(WorkService, {
    exchange: (stream: ServerDuplexStream<FrameBatch, FrameBatch>) => {
      const options = { revision: () => 0, observeRevision: () => {} };
      exchanges.push(new Exchange(stream, { ...options, run: (id, _head, sink) => run(id, sink) }));
    },
  });
  const port = await new Promise<number>((resolve) => {
    server.bindAsync('127.0.0.1:0', ServerCredentials.createInsecure(), (_error, bound) =>
      resolve(bound),
    );
  });
  return { server, exchanges, address: `127.0.0.1:${port}` };
}

const end = { dataCount: 0, failure: '', load: undefined, resumeToken: '', candidates: [] };

test('if nobody listens at the address of the sidecar, the request was certainly not sent', async (t) => {
  const link = openLink(systemClock);
  t.true(await ask(link, '127.0.0.1:1', 'r1').lost);
  link.close();
});

test('a sidecar that does not open its side of the stream counts as lost after 1 s, and the request was not sent', async (t) => {
  const silent = createServer(() => {});
  await new Promise<void>((resolve) => {
    silent.listen(0, '127.0.0.1', resolve);
  });
  const { port } = silent.address() as AddressInfo;
  const clock = new VirtualClock();
  const link = openLink(clock);
  const asking = ask(link, `127.0.0.1:${port}`, 'r1');
  clock.advanceTo(1000);
  t.true(await asking.lost);
  link.close();
  silent.close();
});

test('if the sidecar is lost in the middle of an answer, the request may have run', async (t) => {
  const { server, address } = await serve((_id, sink) => {
    sink.send({ $case: 'start', value: { status: 200, headers: [] } });
    setImmediate(() => server.forceShutdown());
    return new Promise(() => {});
  });
  const link = openLink(systemClock);
  t.false(await ask(link, address, 'r1').lost);
  link.close();
});

test('a draining sidecar finishes its requests; later requests use another stream', async (t) => {
  const finish: (() => void)[] = [];
  const { server, exchanges, address } = await serve(
    (_id, sink) =>
      new Promise((resolve) => {
        sink.send({ $case: 'start', value: { status: 200, headers: [] } });
        finish.push(() => {
          sink.send({ $case: 'end', value: end });
          resolve();
        });
        if (finish.length === 1) exchanges[0]?.leave();
      }),
  );
  const link = openLink(systemClock);
  const first = ask(link, address, 'r1');
  while (first.frames.length === 0) await new Promise(setImmediate);
  const second = ask(link, address, 'r2');
  while (second.frames.length === 0) await new Promise(setImmediate);
  t.is(exchanges.length, 2);
  for (const act of finish) act();
  await first.ended;
  await second.ended;
  t.deepEqual(first.frames, ['start', 'end']);
  link.close();
  server.forceShutdown();
});
