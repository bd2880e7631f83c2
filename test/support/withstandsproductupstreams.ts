import type { ExecutionContext } from 'ava';
import { Crowd } from '../../bench/soak/crowd.js';
import type { Endless } from '../../standin/platform/index.js';
import { askAll } from './asker.js';
import { startProductUpstreamTarget } from './productupstreamtarget.js';

/** Requests whose upstream answers without end. */
interface EndlessLoad {
  readonly endless: Endless;
  readonly request: 'stream' | 'whole' | 'lookup';
  readonly callers: number;
  /** The callers read nothing of the answers. */
  readonly readsNothing?: boolean;
}

/** The upstream of each request, and an ordinary request that the other upstream serves. */
const UPSTREAMS = {
  stream: { faulty: 'engine', ordinary: 'lookup' },
  whole: { faulty: 'engine', ordinary: 'lookup' },
  lookup: { faulty: 'plain', ordinary: 'stream' },
} as const;
const MEMORY_BYTES = 350 * 1_048_576;
const MEMORY_SHARE = 0.8;
/** Callers leave an answer without end after this much. */
const MAX_BYTES = 16_384;
const ORDINARY_REQUESTS = 20;

/**
 * Checks that an entry and a sidecar bear answers without end: both live within their memory, each request ends with an
 * answer or a refusal, requests to another upstream are served meanwhile, and this upstream's are once it is sound.
 */
export async function withstandsProductUpstreams(
  t: ExecutionContext,
  { endless, request, callers, readsNothing }: EndlessLoad,
): Promise<void> {
  const target = await startProductUpstreamTarget();
  const { processes, callersPort: port } = target;
  const { faulty, ordinary } = UPSTREAMS[request];
  const crowd = new Crowd();
  const all = Object.entries(processes);
  const areAlive = () => all.every(([, { isAlive }]) => isAlive);
  // An entry that cannot read its connections in time, on a busy machine for example, refuses some (`entry-busy`).
  const serveOrdinary = async () => {
    let served = 0;
    while (areAlive() && served < ORDINARY_REQUESTS) {
      const { status } = await target.ask(ordinary);
      if (status === 200) served += 1;
    }
  };
  try {
    target.upstreams[faulty].endless = endless;
    const text = target.requests[request];
    if (readsNothing) {
      await crowd.open(port, callers, { head: text });
      await serveOrdinary();
    } else {
      const asked = askAll({ port, text, maxBytes: MAX_BYTES }, callers, 1);
      await serveOrdinary();
      const ends = await asked;
      t.deepEqual(
        ends.filter(({ status }) => status === 0),
        [],
      );
    }
    for (const [name, process] of all) {
      t.log(`${name} ${process.peakBytes()}`);
      t.true(process.isAlive, `${name} ended:\n${process.text.slice(-2000)}`);
    }
    target.upstreams[faulty].endless = undefined;
    await Promise.all(all.map(([, process]) => process.untilQuiet()));
    const { status: ordinaryStatus, body } = await target.ask(ordinary);
    t.is(ordinaryStatus, 200, body);
    // The entry sends nothing to an upstream that has failed before a pause is over, and says so in its refusals.
    let status = 0;
    while (areAlive() && status !== 200) ({ status } = await target.ask(request));
    t.is(status, 200);
    for (const [name, process] of all) {
      const peakBytes = process.peakBytes();
      const isWithin = peakBytes !== undefined && peakBytes <= MEMORY_BYTES * MEMORY_SHARE;
      t.true(isWithin, `${name}: ${peakBytes} bytes of memory`);
    }
  } finally {
    crowd.close();
    await target.close();
  }
}
