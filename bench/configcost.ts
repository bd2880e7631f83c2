import { readFileSync } from 'node:fs';
import { join } from 'node:path';
import { VirtualClock, type ChangeId, type Revision } from '../src/base/index.js';
import { createAcceptance, serviceKey, type Change } from '../src/core/acceptance/index.js';
import { checkDocument, readDocument, type ServiceDocument } from '../src/core/document/index.js';
import { acceptChange, sha256 } from '../src/shell/acceptance/index.js';
import { MemoryStore } from '../standin/index.js';
import type { Bench } from './bench.js';

const EXAMPLE = join(import.meta.dirname, '../../examples/reenvio-norte/redactor.jsonc');
/** How often the example at today's size is repeated: 40 to 1,200 models in one document. */
const COPIES = [1, 3, 10, 30];
const CHANGES = 20;
const INDENT = 2;
const PORT = 7400;

/** One size of document, and what it costs. Times are medians of one core. */
interface Cost {
  readonly models: number;
  readonly adapters: number;
  readonly upstreams: number;
  readonly documentBytes: number;
  /** The store's value after 20 small changes. */
  readonly valueBytes: number;
  readonly checkMs: number;
  /** Reading a document that is already in force. */
  readonly readMs: number;
  /** One accepted change: check, difference, hashes; without the store's own time. */
  readonly changeMs: number;
  readonly storeReadsPerChange: number;
  readonly storeWritesPerChange: number;
}

function copied(document: ServiceDocument, copies: number): ServiceDocument {
  const each = Array.from({ length: copies }, (_, copy) => copy);
  const groups = each.flatMap((copy) =>
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
    models: each.flatMap((copy) =>
      document.models.map((model) => ({ ...model, id: `${model.id}-${copy}` as typeof model.id })),
    ),
    adapters: each.flatMap((copy) =>
      document.adapters.map((adapter) => ({
        ...adapter,
        id: `${adapter.id}-${copy}` as typeof adapter.id,
        model: `${adapter.model}-${copy}` as typeof adapter.model,
      })),
    ),
    groups,
  };
}

async function medianMs(times: number, act: () => unknown): Promise<number> {
  const tookMs: number[] = [];
  for (let time = 0; time < times; time += 1) {
    const fromMs = performance.now();
    await act();
    tookMs.push(performance.now() - fromMs);
  }
  tookMs.sort((a, b) => a - b);
  return Number((tookMs[Math.floor(times / 2)] ?? 0).toFixed(2));
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

/** What documents cost by their size: bytes, time to check, to read and to change. */
export const configCost: Bench = async () => {
  const document = readDocument(readFileSync(EXAMPLE, 'utf8')).unwrap();
  const costs: Cost[] = [];
  for (const copies of COPIES) costs.push(await cost(copied(document, copies)));
  return { costs };
};
