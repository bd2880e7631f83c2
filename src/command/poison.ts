import { Command, Flags } from '@oclif/core';
import type { TraitId } from '../base/index.js';
import type { ListedSuspect } from '../core/poison/index.js';
import { callEntry } from './operator/callentry.js';
import { exitCodeOf } from './operator/exitcodes.js';

/** `tarragonstile poison`: lists what is suspected of crashing upstreams, and clears one suspect. */
export default class PoisonCommand extends Command {
  static override summary =
    'Lists requests and parts of prompts suspected of crashing upstreams; lifts a verdict.';

  static override enableJsonFlag = true;

  static override flags = {
    peer: Flags.string({
      required: true,
      description: 'address of any entry for calls from other entries: HOST:PORT',
    }),
    lift: Flags.string({
      description: 'content id of a request, or part:ID, to clear of suspicion',
    }),
  };

  async run(): Promise<unknown> {
    const { flags } = await this.parse(PoisonCommand);
    if (flags.lift !== undefined) return this.lift(flags.peer, flags.lift);
    const { suspects } = (await callEntry(flags.peer, '/poison/list', {})) as {
      suspects: readonly ListedSuspect[];
    };
    for (const suspect of suspects) this.printSuspect(suspect);
    return { suspects };
  }

  private printSuspect({ verdict, trait, service, model, path, crashes }: ListedSuspect): void {
    this.log(`${verdict} ${trait} ${service} ${model ?? '-'} ${path ?? '-'}`);
    for (const { upstream, runMs, chance, state } of crashes) {
      this.log(`  ${upstream} after ${runMs} ms, by chance ${chance.toPrecision(2)}: ${state}`);
    }
  }

  private async lift(peer: string, text: string): Promise<unknown> {
    const trait = text as TraitId;
    const { isLifted } = (await callEntry(peer, '/poison/lift', { trait })) as {
      isLifted: boolean;
    };
    this.log(isLifted ? `${trait} may run again.` : `${trait} was not suspected.`);
    if (!isLifted) this.exit(exitCodeOf('request-unknown'));
    return { isLifted };
  }
}
