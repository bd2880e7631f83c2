import { systemClock } from '../../src/base/index.js';
import { SharedLink, type SentAttempt } from '../../src/entry/link/index.js';
import { RequestHead } from '../../src/wire/index.js';
import { StreamLink } from './streamlink.js';

const GRANT_EVERY = 16;

/** Options of the client, as the process's JSON argument. */
interface ClientOptions {
  readonly link: 'shared' | 'stream';
  readonly ports: readonly number[];
  readonly streams: number;
}

const { link: type, ports, streams } = JSON.parse(process.argv[2] ?? '{}') as ClientOptions;
const shared = () =>
  new SharedLink({ clock: systemClock, revision: () => 0, observeRevision: () => {} });
const link = type === 'shared' ? shared() : new StreamLink();
const head = RequestHead.fromPartial({ model: 'notice-1', body: Buffer.alloc(500) });
let tokenCount = 0;
let lost = 0;

function ask(index: number): void {
  /** Data frames since the last credit grant. */
  let taken = 0;
  const address = `127.0.0.1:${ports[index % ports.length]}`;
  const asked: SentAttempt = link.ask(address, `request-${index}-0123456`, 1, head, {
    take: ({ body }) => {
      if (body?.$case === 'end') asked.done();
      if (body?.$case !== 'data') return;
      tokenCount += 1;
      taken += 1;
      if (taken < GRANT_EVERY) return;
      asked.grant(taken);
      taken = 0;
    },
    lost: () => {
      lost += 1;
    },
  });
}

for (let index = 0; index < streams; index += 1) ask(index);
console.log(JSON.stringify({ streams }));
const printProgress = () =>
  console.log(JSON.stringify({ tokenCount, lost, atMs: performance.now() }));
setInterval(printProgress, 1000);
