import { Args } from '@oclif/core';
import { explainModel, type Explanation } from '../shell/entries/index.js';
import { OperatorCommand } from './operator/operatorcommand.js';

/** `tarragonstile explain MODEL`: why a model is where it is. */
export default class ExplainCommand extends OperatorCommand {
  static override description =
    'Tells where a model is, why, and what the planner expects; asks the entries given.';

  static override args = {
    model: Args.string({ required: true, description: 'model, as callers name it' }),
  };

  async run(): Promise<unknown> {
    const { args, flags } = await this.parse(ExplainCommand);
    const { entries } = this.settingsFrom(flags);
    const answers = await explainModel(entries, args.model);
    for (const answer of answers) {
      if (answer.type === 'unreachable') {
        this.log(`entry ${answer.url}: ${answer.failure.detail}`);
        continue;
      }
      if (answer.explanations.length === 0) this.log(`entry ${answer.url}: no such model`);
      for (const explanation of answer.explanations) this.tell(explanation);
    }
    return { model: args.model, entries: answers };
  }

  private tell({ hostId, service, model, residents, planner, movePenalty }: Explanation): void {
    this.log(`entry ${hostId}: ${model} of ${service}, move penalty ${movePenalty}`);
    if (residents.length === 0) this.log('  in no memory: the next request asks for a load');
    for (const { upstream, availabilityZone, phase, adapters, member } of residents) {
      const extra = adapters.length > 0 ? `, adapters ${adapters.join(' ')}` : '';
      this.log(`  ${upstream} (${availabilityZone}, ${member}): ${phase}${extra}`);
    }
    if (!planner) {
      this.log('  planned by another entry, or by nobody');
      return;
    }
    const { epoch, forecastPerSecond, serviceTimeMs, places, unplaced } = planner;
    const rate = `${forecastPerSecond.toFixed(2)} requests/s of ${Math.round(serviceTimeMs)} ms`;
    this.log(`  planned here under epoch ${epoch} for ${rate}`);
    for (const { upstream, reason, gain, cost } of places) {
      const worth =
        reason === 'demand' ? `: gains ${gain.toFixed(1)}, costs ${cost.toFixed(1)}` : '';
      this.log(`  wanted at ${upstream}: ${reason}${worth}`);
    }
    if (unplaced) this.log('  fits nowhere at present');
  }
}
