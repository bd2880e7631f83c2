import { hash32 } from '../hash/index.js';

/** Sorts addresses by rendezvous hash: the order differs by key and is the same in every process. */
export function byRendezvous(addresses: readonly string[], key: string): readonly string[] {
  const weights = new Map(addresses.map((address) => [address, hash32(`${key}@${address}`)]));
  const weightOf = (address: string) => weights.get(address) ?? 0;
  return [...weights.keys()].sort((a, b) => weightOf(b) - weightOf(a) || (a < b ? -1 : 1));
}
