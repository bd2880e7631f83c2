import { Server, ServerCredentials } from '@grpc/grpc-js';
import { channelOptions } from '../../src/shell/rpc/index.js';
import { Exchange } from '../../src/sidecar/exchange.js';
import type { AnswerSink } from '../../src/sidecar/answersink.js';
import { WorkService, type WorkServer } from '../../src/wire/index.js';
import type { SourceOptions } from './sourceoptions.js';
import { tokenEvent } from './tokenevent.js';

/** Streams are spread over this many groups, which emit in turn to spread the load over time. */
const BUCKETS = 16;
const DONE = Buffer.from('data: [DONE]\n\n');
const HEADERS = [{ name: 'content-type', value: 'text/event-stream' }];

/** A stream that is being sent. */
interface Stream {
  readonly outlet: AnswerSink;
  readonly payload: Buffer;
  readonly finish: () => void;
  /** Tokens that are still to be sent. */
  left: number;
}

const options = JSON.parse(process.argv[2] ?? '{}') as SourceOptions;
const exchanges: Exchange[] = [];
const buckets = Array.from({ length: BUCKETS }, () => new Set<Stream>());
let next = 0;

function end({ outlet, finish }: Stream): void {
  outlet.send({ $case: 'data', value: { payload: DONE, tokenCount: 0 } });
  const dataCount = options.tokens + 1;
  const value = { dataCount, failure: '', load: undefined, resumeToken: '', candidates: [] };
  outlet.send({ $case: 'end', value });
  finish();
}

function emit(bucket: Set<Stream>): void {
  for (const stream of bucket) {
    const { outlet, payload } = stream;
    if (outlet.gone.aborted) {
      bucket.delete(stream);
      stream.finish();
    } else if (outlet.ready() === undefined) {
      outlet.send({ $case: 'data', value: { payload, tokenCount: 1 } });
      stream.left -= 1;
      if (stream.left > 0) continue;
      bucket.delete(stream);
      end(stream);
    }
  }
}

function run(requestId: string, outlet: AnswerSink): Promise<void> {
  outlet.send({ $case: 'start', value: { status: 200, headers: HEADERS } });
  return new Promise((finish) => {
    const stream = { outlet, payload: tokenEvent(requestId), finish, left: options.tokens };
    buckets[next % BUCKETS]?.add(stream);
    next += 1;
  });
}

const handlers = {
  exchange: (call) => {
    exchanges.push(
      new Exchange(call, {
        run: (requestId, _head, outlet) => run(requestId, outlet),
        revision: () => 0,
        observeRevision: () => {},
      }),
    );
  },
} as Partial<WorkServer> as WorkServer;

function listen(): Promise<number> {
  const server = new Server(channelOptions.server);
  server.addService(WorkService, handlers);
  return new Promise((resolve) => {
    server.bindAsync('127.0.0.1:0', ServerCredentials.createInsecure(), (_error, port) =>
      resolve(port),
    );
  });
}

const ports = await Promise.all(Array.from({ length: options.peers }, listen));
const bucketMs = options.intervalMs / BUCKETS;
let dueMs = performance.now();
let round = 0;
setInterval(() => {
  while (dueMs <= performance.now()) {
    emit(buckets[round % BUCKETS]!);
    round += 1;
    dueMs += bucketMs;
  }
}, 1);
console.log(JSON.stringify({ ports }));
