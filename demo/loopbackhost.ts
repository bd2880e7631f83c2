import { randomInt } from 'node:crypto';

const LOWEST = 2;
const HIGHEST = 254;

/**
 * Returns a random loopback address that probably no other process uses. Free ports there stay free, because outgoing
 * connections take their local ports on 127.0.0.1.
 */
export function loopbackHost(): string {
  const parts = Array.from({ length: 3 }, () => randomInt(LOWEST, HIGHEST));
  return `127.${parts.join('.')}`;
}
