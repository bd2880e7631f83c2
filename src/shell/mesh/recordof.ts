import { parse } from 'jsonc-parser';
import type { MeshRecord } from '../../core/mesh/index.js';
import type { KeyValue } from '../../port/index.js';
import { sidecarAddressesOf } from './sidecaraddressesof.js';

interface StoredValue {
  readonly document?: string;
}

const EMPTY = new Uint8Array(0);

function textOf(value: string): string {
  try {
    return (JSON.parse(value) as StoredValue).document ?? '';
  } catch {
    return '';
  }
}

function regionOf(text: string): string | undefined {
  const document = parse(text, [], { allowTrailingComma: true }) as { region?: string } | undefined;
  return document?.region;
}

/**
 * Converts a key of the store to a record of the board. A document of another region becomes an empty record: its
 * revision has to be known here, its contents don't.
 */
export function recordOf(item: KeyValue, prefix: string, region: string): MeshRecord {
  const key = `document/${item.key.slice(prefix.length)}`;
  const head = { key, epoch: 0, sequence: item.revision, origin: '' };
  const text = textOf(item.value);
  const ownRegion = regionOf(text);
  if (ownRegion !== undefined && ownRegion !== region) return { ...head, value: EMPTY };
  return { ...head, value: Buffer.from(text), members: sidecarAddressesOf(text) };
}
