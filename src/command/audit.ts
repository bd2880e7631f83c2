import { Args } from '@oclif/core';
import type { ServiceId } from '../base/index.js';
import { verifyChain } from '../core/audit/index.js';
import { sha256 } from '../shell/acceptance/index.js';
import { OperatorCommand } from './operator/operatorcommand.js';
import { regionFlag } from './operator/regionflag.js';

/** `tarragonstile audit`: prints who changed a document, when and why. */
export default class AuditCommand extends OperatorCommand {
  static override description = 'Prints the audit trail of a service and verifies its chain.';

  static override args = { service: Args.string({ required: true, description: 'the service' }) };

  static override flags = regionFlag;

  async run(): Promise<unknown> {
    const { args, flags } = await this.parse(AuditCommand);
    const service = args.service as ServiceId;
    const held = await this.requireService(this.storeFrom(flags), service, flags.region);
    const { region, revision, stored } = held;
    const entries = stored.audit.map(({ undo, ...entry }) => ({
      ...entry,
      keepsTextBefore: undo !== undefined,
    }));
    for (const entry of entries) {
      const at = new Date(entry.atMs).toISOString();
      const { index, act, changeId, who, cause, documentHash } = entry;
      this.log(
        `${index}\t${at}\t${who}\t${act}\t${changeId}\t${documentHash.slice(0, 12)}\t${cause}`,
      );
    }
    const verified = verifyChain(stored.audit, stored.document, sha256);
    if (verified.err) return this.stop(verified.val);
    const first = entries[0]?.index ?? 0;
    this.log(
      `hash chain valid from entry ${first} to ${entries.at(-1)?.index ?? 0}, revision ${revision}`,
    );
    return { service, region, revision, whole: true, entries };
  }
}
