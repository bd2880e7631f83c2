import { parse } from 'jsonc-parser';

interface PartialDocument {
  readonly groups?: readonly {
    readonly upstreams?: readonly { readonly sidecarAddress?: string }[];
  }[];
}

/** Returns the addresses of the sidecars that a document lists; empty if the document cannot be parsed. */
export function sidecarAddressesOf(text: string): readonly string[] {
  const document = parse(text, [], { allowTrailingComma: true }) as PartialDocument | undefined;
  const addresses: string[] = [];
  for (const group of document?.groups ?? []) {
    for (const { sidecarAddress } of group.upstreams ?? []) {
      if (sidecarAddress) addresses.push(sidecarAddress);
    }
  }
  return addresses;
}
