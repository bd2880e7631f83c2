import { parse } from 'jsonc-parser';
import type { MeshRecord } from '../../core/mesh/index.js';
import type { KeyValue } from '../../port/index.js';
import { membersOf } from './membersof.js';

interface Stored {
  readonly document?: string;
}

const EMPTY = new Uint8Array(0);

function textOf(value: string): string {
  try {
    return (JSON.parse(value) as Stored).document ?? '';
  } catch {
    return '';
  }
}

function regionOf(text: string): string | undefined {
  const document = parse(text, [], { allowTrailingComma: true }) as { region?: string } | undefined;
  return document?.region;
}

/**
 * The board's record for a service's key in the store. A document of another region becomes an empty
 * record: its revision counts here, its contents do not concern this region.
 */
export function recordOf(item: KeyValue, prefix: string, region: string): MeshRecord {
  const key = `document/${item.key.slice(prefix.length)}`;
  const head = { key, epoch: 0, sequence: item.revision, origin: '' };
  const text = textOf(item.value);
  const ownRegion = regionOf(text);
  if (ownRegion !== undefined && ownRegion !== region) return { ...head, value: EMPTY };
  return { ...head, value: Buffer.from(text), members: membersOf(text) };
}
