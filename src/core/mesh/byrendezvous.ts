import { hash32 } from '../hash/index.js';

/** Sorts addresses by their hash with a key: each key gives another, but everywhere the same, order. */
export function byRendezvous(addresses: readonly string[], key: string): readonly string[] {
  const weights = new Map(addresses.map((address) => [address, hash32(`${key}@${address}`)]));
  const weigh = (address: string) => weights.get(address) ?? 0;
  return [...weights.keys()].sort((a, b) => weigh(b) - weigh(a) || (a < b ? -1 : 1));
}
