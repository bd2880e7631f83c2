const KEY_FIELDS = ['transferId', 'chargeId', 'key'] as const;

/** Returns the key that identifies the effect of a call across repeats: header `x-business-key` or a body field. */
export function businessKey(header: string | undefined, body: string): string | undefined {
  if (header) return header;
  if (!body.startsWith('{')) return undefined;
  const fields = JSON.parse(body) as Partial<Record<(typeof KEY_FIELDS)[number], string>>;
  for (const name of KEY_FIELDS) {
    if (fields[name]) return fields[name];
  }
  return undefined;
}
