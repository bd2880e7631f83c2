import { Command, Flags } from '@oclif/core';
import type { CustomerState } from '../direct/quota/index.js';
import { askEntry } from './operator/askentry.js';

/** So much of a hash tells keys apart for a reader. */
const HASH_LENGTH = 12;

/** Tells customers, the hashes of their keys, and what is left of their limits, as an entry knows them. */
export default class CustomersCommand extends Command {
  static override summary =
    'Lists customers with the hashes of their keys, limits, use and refusals.';

  static override enableJsonFlag = true;

  static override flags = {
    peer: Flags.string({
      required: true,
      description: 'address of any entry for calls between entries: HOST:PORT',
    }),
  };

  async run(): Promise<unknown> {
    const { flags } = await this.parse(CustomersCommand);
    const { customers } = (await askEntry(flags.peer, '/quota/list', {})) as {
      customers: readonly CustomerState[];
    };
    for (const customer of customers) this.tell(customer);
    return { customers };
  }

  private tell({ id, keyHashes, quota, held, left, refusedCount }: CustomerState): void {
    const limit = quota ? `${quota.ratePerS} ${quota.unit}/s, burst ${quota.burst}` : 'no limit';
    const there = left === undefined ? '' : `, ${Math.round(left)} left in all`;
    this.log(`${id} ${limit}; ${Math.round(held)} held here${there}; ${refusedCount} refused here`);
    for (const hash of keyHashes) this.log(`  key ${hash.slice(0, HASH_LENGTH)}`);
  }
}
