import { Command, Flags } from '@oclif/core';
import type { CustomerState } from '../direct/quota/index.js';
import { callEntry } from './operator/callentry.js';

/** Characters of a key hash that are printed; enough to distinguish keys. */
const HASH_LENGTH = 12;

/** `tarragonstile customers`: prints customers, their key hashes, and the rest of their quotas as known to an entry. */
export default class CustomersCommand extends Command {
  static override summary =
    'Lists customers with the hashes of their keys, limits, usage and refusals.';

  static override enableJsonFlag = true;

  static override flags = {
    peer: Flags.string({
      required: true,
      description: 'address of any entry for calls from other entries: HOST:PORT',
    }),
  };

  async run(): Promise<unknown> {
    const { flags } = await this.parse(CustomersCommand);
    const { customers } = (await callEntry(flags.peer, '/quota/list', {})) as {
      customers: readonly CustomerState[];
    };
    for (const customer of customers) this.printCustomer(customer);
    return { customers };
  }

  private printCustomer({ id, keyHashes, quota, held, left, refusedCount }: CustomerState): void {
    const limit = quota ? `${quota.ratePerS} ${quota.unit}/s, burst ${quota.burst}` : 'no limit';
    const total = left === undefined ? '' : `, ${Math.round(left)} left in total`;
    this.log(`${id} ${limit}; ${Math.round(held)} held here${total}; ${refusedCount} refused here`);
    for (const hash of keyHashes) this.log(`  key ${hash.slice(0, HASH_LENGTH)}`);
  }
}
