# gnuplot -persist -c FILE
$accounts << EOD
"alpha" 16.0000 8.0000 8.0000 0.0000 0.0000 0.0011
"beta" 0.0000 2.0000 0.0000 16.0078 20.0078 0.5001
EOD
set title "Accelerator hours from 2027-01-15T08:00:00Z to 2027-01-15T12:00:00Z" noenhanced
set style data histograms
set style histogram clustered gap 1
set style fill solid 0.8 border -1
set ylabel "accelerator hours"
set y2label "hours waited"
set y2tics
set yrange [0:*]
set y2range [0:*]
set xtics rotate by -30 noenhanced
plot $accounts using 2:xtic(1) title "promised", \
  '' using 3 title "asked", \
  '' using 4 title "guaranteed", \
  '' using 5 title "borrowed", \
  '' using 6 title "lost", \
  '' using 7 axes x1y2 title "waited"
