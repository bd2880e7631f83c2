import { parse } from 'jsonc-parser';

interface Named {
  readonly groups?: readonly {
    readonly upstreams?: readonly { readonly sidecarAddress?: string }[];
  }[];
}

/** Addresses of the sidecars that a document names; none if it cannot be read. */
export function membersOf(text: string): readonly string[] {
  const document = parse(text, [], { allowTrailingComma: true }) as Named | undefined;
  const members: string[] = [];
  for (const group of document?.groups ?? []) {
    for (const { sidecarAddress } of group.upstreams ?? []) {
      if (sidecarAddress) members.push(sidecarAddress);
    }
  }
  return members;
}
