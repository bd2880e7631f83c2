import { shape } from '../../core/shape/index.js';
import { parseDocument } from '../../core/text/index.js';

interface PartialDocument {
  readonly groups?: readonly {
    readonly upstreams?: readonly { readonly sidecarAddress?: string }[];
  }[];
}

const isDocument = shape.object({
  groups: shape.optional(
    shape.listOf(
      shape.object({
        upstreams: shape.optional(
          shape.listOf(shape.object({ sidecarAddress: shape.optional(shape.string) })),
        ),
      }),
    ),
  ),
});

/** Returns the addresses of the sidecars that a document lists; empty if the document cannot be parsed. */
export function sidecarAddressesOf(text: string): readonly string[] {
  const document = parseDocument(text);
  if (!isDocument(document)) return [];
  const addresses: string[] = [];
  for (const group of (document as PartialDocument).groups ?? []) {
    for (const { sidecarAddress } of group.upstreams ?? []) {
      if (sidecarAddress) addresses.push(sidecarAddress);
    }
  }
  return addresses;
}
