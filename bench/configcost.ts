import { readFileSync } from 'node:fs';
import { join } from 'node:path';
import { VirtualClock, type ChangeId, type Revision } from '../src/base/index.js';
import { createAcceptance, serviceKey, type Change } from '../src/core/acceptance/index.js';
import { checkDocument, readDocument, type ServiceDocument } from '../src/core/document/index.js';
import { acceptChange, sha256 } from '../src/shell/acceptance/index.js';
import { MemoryStore } from '../standin/index.js';
import type { Bench } from './bench.js';

const EXAMPLE = join(import.meta.dirname, '../../examples/reenvio-norte/redactor.jsonc');
/** Copies of the example's content in one document, which give 40 to 1,200 models. */
const COPIES = [1, 3, 10, 30];
const CHANGES = 20;
const INDENT = 2;
const PORT = 7400;

/** Cost of a document of one size. Times are medians on one CPU core. */
interface Cost {
  readonly models: number;
  readonly adapters: number;
  readonly upstreams: number;
  readonly documentBytes: number;
  /** Size of the stored value after 20 small changes. */
  readonly valueBytes: number;
  readonly checkMs: number;
  /** Time to read a document that is already in force. */
  readonly readMs: number;
  /** Time of one accepted change: check, diff and hashes, without the time of the store. */
  readonly changeMs: number;
  readonly storeReadsPerChange: number;
  readonly storeWritesPerChange: number;
}

function enlarge(document: ServiceDocument, copies: number): ServiceDocument {
  const copyNumbers = Array.from({ length: copies }, (_, copy) => copy);
  const groups = copyNumbers.flatMap((copy) =>
    document.groups.map((group, place) => ({
      ...group,
      name: `${group.name}-${copy}`,
      upstreams: group.upstreams.map(({ id }, index) => ({
        id: `${id}-${copy}` as typeof id,
        sidecarAddress: `10.${copy}.${place}.${index + 1}:${PORT}`,
      })),
    })),
  );
  return {
    ...document,
    models: copyNumbers.flatMap((copy) =>
      document.models.map((model) => ({ ...model, id: `${model.id}-${copy}` as typeof model.id })),
    ),
    adapters: copyNumbers.flatMap((copy) =>
      document.adapters.map((adapter) => ({
        ...adapter,
        id: `${adapter.id}-${copy}` as typeof adapter.id,
        model: `${adapter.model}-${copy}` as typeof adapter.model,
      })),
    ),
    groups,
  };
}

async function medianMs(runCount: number, act: () => unknown): Promise<number> {
  const tookMs: number[] = [];
  for (let run = 0; run < runCount; run += 1) {
    const startMs = performance.now();
    await act();
    tookMs.push(performance.now() - startMs);
  }
  tookMs.sort((a, b) => a - b);
  return Number((tookMs[Math.floor(runCount / 2)] ?? 0).toFixed(2));
}

async function cost(document: ServiceDocument): Promise<Cost> {
  const clock = new VirtualClock();
  const store = new MemoryStore({ clock });
  const { service } = document;
  let movePenalty = 0;
  const change = async () => {
    movePenalty += 1;
    const placement = { ...document.placement, movePenalty };
    const text = JSON.stringify({ ...document, placement }, null, INDENT);
    const wanted: Change = {
      service,
      region: document.region,
      changeId: `c${movePenalty}` as ChangeId,
      expectedRevision: (movePenalty === 1 ? 0 : movePenalty) as Revision,
      source: { type: 'text', text, file: 'f.jsonc' },
      who: 'bench',
      cause: 'cost',
      atMs: 0,
    };
    const accepted = await acceptChange(createAcceptance(wanted, sha256), {
      store,
      clock,
      log: () => {},
    });
    accepted.unwrap();
  };
  const text = JSON.stringify(document, null, INDENT);
  const changeMs = await medianMs(CHANGES, change);
  return {
    models: document.models.length,
    adapters: document.adapters.length,
    upstreams: document.groups.flatMap(({ upstreams }) => upstreams).length,
    documentBytes: Buffer.byteLength(text),
    valueBytes: Buffer.byteLength(store.model.get(serviceKey.of(document))?.value ?? ''),
    checkMs: await medianMs(CHANGES, () => checkDocument(text, { file: 'f.jsonc' }).unwrap()),
    readMs: await medianMs(CHANGES, () => readDocument(text).unwrap()),
    changeMs,
    storeReadsPerChange: store.meter.taken.read / CHANGES,
    storeWritesPerChange: store.meter.taken.write / CHANGES,
  };
}

/** Measures documents of several sizes: bytes, and time to check, read and change them. */
export const configCost: Bench = async () => {
  const document = readDocument(readFileSync(EXAMPLE, 'utf8')).unwrap();
  const costs: Cost[] = [];
  for (const copies of COPIES) costs.push(await cost(enlarge(document, copies)));
  return { costs };
};
