import { decodeSuspects } from '../src/direct/poison/decodesuspects.js';
import { parseJson, maxRecordLength } from '../src/core/shape/index.js';
import type { Bench } from './bench.js';

const RUNS = 5;
const LENGTH = 2_000_000;
/** The bound of the platform's records of servers. */
const SERVER_LENGTH = 65_536;

function fill(unit: string, length: number): string {
  return unit.repeat(length / unit.length);
}

/** Records of a length that cost much to parse, by what they hold. */
const RECORDS: Readonly<Record<string, (length: number) => string>> = {
  'nested lists': (length) => fill('[', length / 2) + fill(']', length / 2),
  'nested objects': (length) => `${fill('{"a":', (length * 5) / 6)}1${fill('}', length / 6)}`,
  'one text': (length) => `{"a":"${fill('x', length - 8)}"}`,
  numbers: (length) => `[${fill('1e400,', length - 3)}1]`,
  fields: (length) => `{${Array.from({ length: length / 12 }, (_, at) => `"k${at}":1`).join(',')}}`,
};

const READERS: Readonly<Record<string, (text: string) => unknown>> = {
  'JSON.parse': (text) => JSON.parse(text) as unknown,
  server: (text) => parseJson(text, SERVER_LENGTH),
  'own, bounded': (text) => parseJson(text, maxRecordLength),
  suspects: (text) => decodeSuspects(text),
};

/** Returns the longest processor time of some runs, in ms. */
function worstMs(read: (text: string) => unknown, text: string): number {
  let worst = 0;
  for (let run = 0; run < RUNS; run += 1) {
    const before = process.cpuUsage();
    read(text);
    const { user, system } = process.cpuUsage(before);
    worst = Math.max(worst, (user + system) / 1000);
  }
  return worst;
}

/** Processor time that one record of another writer takes at each reader; 12 ms are 50 ms at 0.243 of a core. */
export const recordCost: Bench = () => {
  const results = [60_000, 250_000, LENGTH].flatMap((bytes) =>
    Object.entries(RECORDS).map(([record, make]) => {
      const text = make(bytes);
      const costs = Object.entries(READERS).map(([name, read]) => [name, worstMs(read, text)]);
      return { bytes, record, ...(Object.fromEntries(costs) as object) };
    }),
  );
  return Promise.resolve(results);
};
