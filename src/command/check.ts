import { Args } from '@oclif/core';
import { readDocument, type ServiceDocument } from '../core/document/index.js';
import { checkFile } from './operator/checkfile.js';
import { OperatorCommand } from './operator/operatorcommand.js';

/** `tarragonstile check`: runs the checks of `apply` without writing. */
export default class CheckCommand extends OperatorCommand {
  static override description =
    'Checks a document; with a store, also against the document in force.';

  static override args = { file: Args.string({ required: true, description: 'the document' }) };

  async run(): Promise<unknown> {
    const { args, flags } = await this.parse(CheckCommand);
    const parsed = checkFile(args.file, {});
    if (parsed.err) return this.stop(parsed.val);
    const { document } = parsed.val;
    const settings = this.settingsFrom(flags);
    const team = settings.team ?? undefined;
    const previous = settings.store ? await this.inForce(flags, document) : undefined;
    const checked = checkFile(args.file, { previous, team });
    if (checked.err) return this.stop(checked.val);
    const { service, models, adapters, groups } = document;
    const upstreams = groups.flatMap((group) => group.upstreams).length;
    const summary = { service, models: models.length, adapters: adapters.length, upstreams };
    this.log(
      `${args.file}: ${service}: ${summary.models} models, ${summary.adapters} adapters, ` +
        `${upstreams} upstreams: valid`,
    );
    return summary;
  }

  private async inForce(
    flags: Parameters<CheckCommand['storeFrom']>[0],
    { service, region }: ServiceDocument,
  ): Promise<ServiceDocument | undefined> {
    const held = await this.held(this.storeFrom(flags), service, region);
    const document = held ? readDocument(held.stored.document) : undefined;
    return document?.ok ? document.val : undefined;
  }
}
