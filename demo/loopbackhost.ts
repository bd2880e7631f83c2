import { randomInt } from 'node:crypto';

const LOWEST = 2;
const HIGHEST = 254;

/**
 * An address of the loopback range that is hardly anybody else's. Ports found free there stay free:
 * outgoing connections of this machine take theirs on 127.0.0.1.
 */
export function loopbackHost(): string {
  const parts = Array.from({ length: 3 }, () => randomInt(LOWEST, HIGHEST));
  return `127.${parts.join('.')}`;
}
