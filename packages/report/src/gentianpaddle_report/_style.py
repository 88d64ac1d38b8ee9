"""Style sheet of the evening page for screens, phones and print."""

from __future__ import annotations

CSS = """
body{margin:0;background:#fff;color:#1a1a1a;font:16px/1.45 system-ui,"DejaVu Sans",sans-serif}
main{max-width:60rem;margin:0 auto;padding:0 1rem 2rem}
header{margin:1rem 0;padding:.8rem 1rem;border-left:.5rem solid;background:#f4f4f4}
header.went_well{border-color:#1a7f37}
header.did_not_go_well{border-color:#b00020}
header.cannot_be_told{border-color:#9a6700}
header p{margin:0;overflow-wrap:anywhere}
h1{margin:.1rem 0 .3rem;font-size:1.7rem;line-height:1.2}
h2{margin:1.8rem 0 .5rem;font-size:1.2rem;border-bottom:1px solid #bbb}
h3{margin:1.2rem 0 0;font-size:1rem;overflow-wrap:anywhere}
.date,.note{color:#555;font-size:.87rem}
.note{margin:.3rem 0}
table{width:100%;border-collapse:collapse;font-size:.92rem}
th,td{padding:.35rem .6rem .35rem 0;text-align:left;vertical-align:top}
th{border-bottom:1px solid #888;font-weight:600}
td{min-width:4.6rem;border-bottom:1px solid #ddd;overflow-wrap:anywhere}
.pair{white-space:nowrap}
.met{color:#1a7f37}
.missed{color:#b00020}
.counts{list-style:none;display:flex;gap:1.5rem;padding:0;margin:.5rem 0}
.counts b{font-size:1.3rem}
.plots{display:grid;grid-template-columns:repeat(auto-fill,minmax(min(100%,19rem),1fr));gap:.5rem}
figure{margin:0}
figcaption{font-size:.87rem;color:#555}
svg{width:100%;height:auto;max-width:30rem}
.class{break-inside:avoid}
tr{break-inside:avoid}
@media (max-width:40rem){
thead{position:absolute;left:-99rem}
table,tbody,tr,td{display:block}
tr{padding:.4rem 0;border-bottom:1px solid #bbb}
td{display:grid;grid-template-columns:7.6rem 1fr;padding:.1rem 0;border:0}
td::before{content:attr(data-title);color:#555;padding-right:.5rem}
}
@media print{
@page{size:A4;margin:14mm}
body{font-size:10.5pt}
main{padding:0;max-width:none}
header{print-color-adjust:exact;-webkit-print-color-adjust:exact}
}
"""
