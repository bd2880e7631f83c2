import { Args } from '@oclif/core';
import type { ServiceId } from '../base/index.js';
import { decodeStored, serviceKey } from '../core/acceptance/index.js';
import { OperatorCommand } from './operator/operatorcommand.js';

/** `tarragonstile get`: what is in force. */
export default class GetCommand extends OperatorCommand {
  static override description =
    'Prints the document in force, or without a service all services and their revisions.';

  static override args = { service: Args.string({ description: 'the service' }) };

  async run(): Promise<unknown> {
    const { args, flags } = await this.parse(GetCommand);
    const store = this.storeFrom(flags);
    if (!args.service) return this.listServices(store);
    const service = args.service as ServiceId;
    const { revision, stored } = await this.mustHold(store, service);
    const changeId = stored.audit.at(-1)?.changeId ?? '';
    this.logToStderr(`${service} is at revision ${revision}, change ${changeId}`);
    this.log(stored.document.trimEnd());
    return { service, revision, changeId, document: stored.document };
  }

  private async listServices(store: ReturnType<GetCommand['storeFrom']>): Promise<unknown> {
    const prefix = serviceKey('' as ServiceId);
    const listed = await store.list(prefix);
    if (listed.err) return this.stop(listed.val);
    const services = listed.val.items.map(({ key, value, revision }) => {
      const stored = decodeStored(value);
      const changeId = stored.ok ? (stored.val.audit.at(-1)?.changeId ?? '') : '';
      return { service: key.slice(prefix.length), revision, changeId };
    });
    for (const { service, revision, changeId } of services) {
      this.log(`${service}\trevision ${revision}\tchange ${changeId}`);
    }
    if (services.length === 0) this.logToStderr('The store holds no service.');
    return { services };
  }
}
