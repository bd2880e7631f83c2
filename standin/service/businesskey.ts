const KEY_FIELDS = ['transferId', 'chargeId', 'key'] as const;

/** What a call means to do, whoever repeats it: the header `x-business-key`, or a field of the body. */
export function businessKey(header: string | undefined, body: string): string | undefined {
  if (header) return header;
  if (!body.startsWith('{')) return undefined;
  const fields = JSON.parse(body) as Partial<Record<(typeof KEY_FIELDS)[number], string>>;
  for (const name of KEY_FIELDS) {
    if (fields[name]) return fields[name];
  }
  return undefined;
}
