const WORDS = ['parcel', 'notice', 'street', 'ledger', 'asset', 'county', 'door', 'letter'];

/** The token that a prompt gives at a position: the same for every engine. */
export function tokenAt(prompt: string, index: number): string {
  let mix = index + 1;
  for (const char of prompt) mix = (mix * 31 + char.charCodeAt(0)) % 65_521;
  return ` ${WORDS[mix % WORDS.length]}${mix % 97}`;
}
