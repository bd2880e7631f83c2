import type { MeshRecord } from '../../core/mesh/index.js';
import { parseJson, shape } from '../../core/shape/index.js';
import { parseDocument } from '../../core/text/index.js';
import type { KeyValue } from '../../port/index.js';
import { sidecarAddressesOf } from './sidecaraddressesof.js';

interface StoredValue {
  readonly document?: string;
}

const isStoredValue = shape.object({ document: shape.optional(shape.string) });
const isRegional = shape.object({ region: shape.optional(shape.string) });
const EMPTY = new Uint8Array(0);

function textOf(value: string): string {
  const read = parseJson(value);
  return isStoredValue(read) ? ((read as StoredValue).document ?? '') : '';
}

function regionOf(text: string): string | undefined {
  const document = parseDocument(text);
  return isRegional(document) ? (document as { readonly region?: string }).region : undefined;
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
