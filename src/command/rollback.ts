import { Args, Flags } from '@oclif/core';
import type { ChangeId, ServiceId } from '../base/index.js';
import { changeFlags } from './operator/changeflags.js';
import { ChangeCommand } from './operator/changecommand.js';
import { regionFlag } from './operator/regionflag.js';

/** `tarragonstile rollback`: makes a new change with the document of an earlier one. */
export default class RollbackCommand extends ChangeCommand {
  static override description = 'Puts the document of an earlier change into force again.';

  static override args = { service: Args.string({ required: true, description: 'the service' }) };

  static override flags = {
    ...changeFlags,
    ...regionFlag,
    to: Flags.string({ required: true, description: 'id of the change to go back to' }),
  };

  async run(): Promise<unknown> {
    const { args, flags } = await this.parse(RollbackCommand);
    const source = { type: 'rollback' as const, to: flags.to as ChangeId };
    const service = args.service as ServiceId;
    const { region } = await this.requireService(this.storeFrom(flags), service, flags.region);
    return this.change(flags, { service, region }, source);
  }
}
