import { Args } from '@oclif/core';
import type { ServiceId } from '../base/index.js';
import { decodeStored, serviceKey } from '../core/acceptance/index.js';
import { OperatorCommand } from './operator/operatorcommand.js';
import { regionFlag } from './operator/regionflag.js';

/** `tarragonstile get`: prints the document in force. */
export default class GetCommand extends OperatorCommand {
  static override description =
    'Prints the document in force; without a service, lists all services and their revisions.';

  static override args = { service: Args.string({ description: 'the service' }) };

  static override flags = regionFlag;

  async run(): Promise<unknown> {
    const { args, flags } = await this.parse(GetCommand);
    const store = this.storeFrom(flags);
    if (!args.service) return this.listServices(store, flags.region);
    const service = args.service as ServiceId;
    const { region, revision, stored } = await this.requireService(store, service, flags.region);
    const changeId = stored.audit.at(-1)?.changeId ?? '';
    this.logToStderr(`${service} (${region}) is at revision ${revision}, change ${changeId}`);
    this.log(stored.document.trimEnd());
    return { service, region, revision, changeId, document: stored.document };
  }

  private async listServices(
    store: ReturnType<GetCommand['storeFrom']>,
    region: string | undefined,
  ): Promise<unknown> {
    const prefix = region === undefined ? serviceKey.all : serviceKey.under(region);
    const listed = await store.list(prefix);
    if (listed.err) return this.stop(listed.val);
    const services = listed.val.items.flatMap(({ key, value, revision }) => {
      const place = serviceKey.read(key);
      const stored = decodeStored(value);
      const changeId = stored.ok ? (stored.val.audit.at(-1)?.changeId ?? '') : '';
      return place ? [{ ...place, revision, changeId }] : [];
    });
    for (const { region: holder, service, revision, changeId } of services) {
      this.log(`${service}\t${holder}\trevision ${revision}\tchange ${changeId}`);
    }
    if (services.length === 0) this.logToStderr('The store holds no service.');
    return { services };
  }
}
