import { Storm, everyFault } from '/work/main/packages/sim/dist/index.js';
import { checkRecords, countTold } from '/work/main/packages/checker/dist/index.js';
import { configText } from '/work/main/tests/dist/util.js';
const [from, to, ms='40000', faults=''] = process.argv.slice(2);
const list = faults ? faults.split(',') : everyFault;
for (let seed=Number(from); seed<=Number(to); seed++) {
  const st = new Storm({ seed, sizes:{controls:5,stores:3,fronts:3}, ms:Number(ms), faults:list, config:(b,p,x)=>configText(b,p,'shop',x) });
  const t0=Date.now();
  if (process.env.TRACE) st.w.trace=(l)=>console.log(l);
  try {
    const r = await st.run();
    const v = checkRecords(r);
    const bad = v.flatMap(x=>x.breaches.map(b=>x.rule+': '+b));
    console.log(seed, Date.now()-t0,'ms', bad.length?'BREACH':'ok', JSON.stringify([...countTold(r.told)]), v.map(x=>x.checked).join(' '));
    for (const b of bad.slice(0,5)) console.log('   ',b);
    if (process.env.SHOW) { const [p,k]=process.env.SHOW.split(' '); for (const t of r.told.filter(t=>t.program===p&&(t.key===k||t.kind==='fetch'))) console.log(JSON.stringify(t)); for (const x of r.ran.filter(x=>x.said.trim().endsWith('#'+k.slice(1)))) console.log(JSON.stringify(x)); }
    if (bad.length) console.log(st.log.join(' | '));
  } catch(e) { console.log(seed,'FAILED',e.stack.split('\n').slice(0,3).join(' '), st.log.slice(-8).join(' | ')); }
}
